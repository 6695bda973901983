#include "proto/message.h"

#include "proto/pack.h"

#include <sodium.h>

#define MESSAGE_VERSION 2
/* Most fractions in one message. */
#define MAX_FRACTIONS 4096

static void
pack_views (struct pack *p, const struct message *m)
{
  pack_array (p, (unsigned)m->view_count);
  for (int i = 0; i < m->view_count; i++)
    {
      pack_array (p, 5);
      pack_bstr (p, bstr_from (m->views[i].group));
      pack_uint (p, m->views[i].view.term);
      pack_int (p, m->views[i].view.silence_us);
      pack_bool (p, m->views[i].view.reaches_majority);
      pack_bool (p, m->views[i].view.refused);
    }
}

static void
pack_heartbeat (struct pack *p, const struct message *m)
{
  pack_array (p, 11);
  pack_uint (p, m->heartbeat.to);
  pack_uint (p, m->heartbeat.version);
  pack_uint (p, m->heartbeat.settled);
  pack_array (p, (unsigned)m->heartbeat.silent_count);
  for (int i = 0; i < m->heartbeat.silent_count; i++)
    pack_uint (p, m->heartbeat.silent[i]);
  pack_int (p, m->heartbeat.sent_at);
  pack_int (p, m->heartbeat.echo);
  pack_bool (p, m->heartbeat.leaving);
  pack_uint (p, m->config_version);
  pack_uint (p, m->keys_version);
  pack_views (p, m);
  pack_array (p, (unsigned)m->report_count);
  for (int i = 0; i < m->report_count; i++)
    {
      pack_array (p, 4);
      pack_bstr (p, bstr_from (m->reports[i].organisation));
      pack_float (p, (float)m->reports[i].fraction);
      pack_float (p, (float)m->reports[i].tokens);
      pack_float (p, (float)m->reports[i].demand);
    }
}

static void
pack_budget (struct pack *p, const struct budget_message *b)
{
  pack_array (p, 11);
  pack_uint (p, b->kind);
  pack_uint (p, b->to);
  pack_uint (p, b->version);
  pack_bstr (p, bstr_from (b->organisation));
  pack_uint (p, b->id);
  pack_double (p, b->fraction);
  pack_double (p, b->tokens);
  pack_bool (p, b->urgent);
  pack_double (p, b->held_fraction);
  pack_double (p, b->held_tokens);
  pack_uint (p, b->last_grantee);
}

static void
pack_join (struct pack *p, const struct cell_member *m, uint64_t version)
{
  pack_array (p, 4);
  pack_uint (p, version);
  pack_uint (p, m->id);
  pack_bstr (p, bstr_from (m->name));
  pack_bstr (p, bstr_from (m->address));
}

static void
pack_fractions (struct pack *p, const struct message *m)
{
  pack_array (p, (unsigned)m->fraction_count);
  for (int i = 0; i < m->fraction_count; i++)
    {
      pack_array (p, 2);
      pack_bstr (p, bstr_from (m->fractions[i].organisation));
      pack_double (p, m->fractions[i].fraction);
    }
}

static void
pack_body (struct pack *p, const struct message *m)
{
  pack_array (p, 4);
  pack_uint (p, MESSAGE_VERSION);
  pack_uint (p, m->type);
  pack_uint (p, m->from);
  switch (m->type)
    {
    case MESSAGE_HEARTBEAT:
      pack_heartbeat (p, m);
      break;
    case MESSAGE_VIEW:
      pack_views (p, m);
      break;
    case MESSAGE_BUDGET:
      pack_budget (p, &m->budget);
      break;
    case MESSAGE_JOIN:
      pack_join (p, &m->member, m->version);
      break;
    default:
      pack_array (p, 5);
      pack_uint (p, m->version);
      pack_int (p, m->age_us);
      pack_bstr (p, bstr_from (m->name));
      pack_bstr (p, m->value);
      pack_fractions (p, m);
    }
}

struct bstr
message_encode (void *parent, const struct message *m,
                const unsigned char key[SECRET_BYTES])
{
  struct pack p;
  pack_begin (&p);
  pack_body (&p, m);
  struct bstr plain = pack_bytes (&p);
  size_t size
      = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES + plain.len;
  unsigned char *sealed = talloc_array (parent, unsigned char, size);
  randombytes_buf (sealed, crypto_secretbox_NONCEBYTES);
  crypto_secretbox_easy (sealed + crypto_secretbox_NONCEBYTES,
                         (const unsigned char *)plain.start, plain.len, sealed,
                         key);
  pack_end (&p);
  return (struct bstr){ (const char *)sealed, size };
}

static void
unpack_views (struct unpack *u, void *parent, struct message *m)
{
  unsigned count = unpack_array_any (u, MESSAGE_MAX_VIEWS);
  m->views = talloc_zero_array (parent, struct message_view, count);
  m->view_count = (int)count;
  for (unsigned i = 0; i < count && !u->failed; i++)
    {
      unpack_array (u, 5);
      unpack_text (u, m->views[i].group, sizeof m->views[i].group);
      m->views[i].view.member = m->from;
      m->views[i].view.term = unpack_uint (u);
      m->views[i].view.silence_us = unpack_int (u);
      m->views[i].view.reaches_majority = unpack_bool (u);
      m->views[i].view.refused = unpack_bool (u);
    }
}

static void
unpack_heartbeat (struct unpack *u, void *parent, struct message *m)
{
  unpack_array (u, 11);
  m->heartbeat.from = m->from;
  m->heartbeat.to = unpack_uint (u);
  m->heartbeat.version = unpack_uint (u);
  m->heartbeat.settled = unpack_uint (u);
  unsigned silent = unpack_array_any (u, CELL_MAX_MEMBERS);
  for (unsigned i = 0; i < silent && !u->failed; i++)
    m->heartbeat.silent[i] = unpack_uint (u);
  m->heartbeat.silent_count = (int)silent;
  m->heartbeat.sent_at = unpack_int (u);
  m->heartbeat.echo = unpack_int (u);
  m->heartbeat.leaving = unpack_bool (u);
  m->config_version = unpack_uint (u);
  m->keys_version = unpack_uint (u);
  unpack_views (u, parent, m);
  unsigned count = unpack_array_any (u, MESSAGE_MAX_REPORTS);
  m->reports = talloc_zero_array (parent, struct budget_report, count);
  m->report_count = (int)count;
  for (unsigned i = 0; i < count && !u->failed; i++)
    {
      unpack_array (u, 4);
      m->reports[i].from = m->from;
      unpack_text (u, m->reports[i].organisation,
                   sizeof m->reports[i].organisation);
      m->reports[i].fraction = unpack_double (u);
      m->reports[i].tokens = unpack_double (u);
      m->reports[i].demand = unpack_double (u);
    }
}

static void
unpack_budget (struct unpack *u, struct message *m)
{
  struct budget_message *b = &m->budget;
  unpack_array (u, 11);
  uint64_t kind = unpack_uint (u);
  if (kind > BUDGET_GRANT_ACK)
    u->failed = true;
  b->kind = (enum budget_message_kind)kind;
  b->from = m->from;
  b->to = unpack_uint (u);
  b->version = unpack_uint (u);
  unpack_text (u, b->organisation, sizeof b->organisation);
  b->id = unpack_uint (u);
  b->fraction = unpack_double (u);
  b->tokens = unpack_double (u);
  b->urgent = unpack_bool (u);
  b->held_fraction = unpack_double (u);
  b->held_tokens = unpack_double (u);
  b->last_grantee = unpack_uint (u);
  if (b->fraction < 0 || b->fraction > 1 || b->tokens < 0
      || b->held_fraction < 0 || b->held_tokens < 0)
    u->failed = true;
}

static void
unpack_join (struct unpack *u, struct cell_member *m, uint64_t *version)
{
  unpack_array (u, 4);
  *version = unpack_uint (u);
  m->id = unpack_uint (u);
  unpack_text (u, m->name, sizeof m->name);
  unpack_text (u, m->address, sizeof m->address);
}

/* Unpack the body of the types that have no function of their own. */
static void
unpack_common (struct unpack *u, void *parent, struct message *m)
{
  unpack_array (u, 5);
  m->version = unpack_uint (u);
  m->age_us = unpack_int (u);
  unpack_text (u, m->name, sizeof m->name);
  m->value = bstr_copy (parent, unpack_bstr (u));
  unsigned count = unpack_array_any (u, MAX_FRACTIONS);
  m->fractions = talloc_zero_array (parent, struct message_fraction, count);
  m->fraction_count = (int)count;
  for (unsigned i = 0; i < count && !u->failed; i++)
    {
      unpack_array (u, 2);
      unpack_text (u, m->fractions[i].organisation,
                   sizeof m->fractions[i].organisation);
      m->fractions[i].fraction = unpack_double (u);
      if (m->fractions[i].fraction < 0 || m->fractions[i].fraction > 1)
        u->failed = true;
    }
}

static bool
unpack_body (struct unpack *u, void *parent, struct message *m)
{
  unpack_array (u, 4);
  if (unpack_uint (u) != MESSAGE_VERSION)
    return false;
  uint64_t type = unpack_uint (u);
  if (type < MESSAGE_HEARTBEAT || type > MESSAGE_SNAPSHOT)
    return false;
  m->type = (enum message_type)type;
  m->from = unpack_uint (u);
  switch (m->type)
    {
    case MESSAGE_HEARTBEAT:
      unpack_heartbeat (u, parent, m);
      break;
    case MESSAGE_VIEW:
      unpack_views (u, parent, m);
      break;
    case MESSAGE_BUDGET:
      unpack_budget (u, m);
      break;
    case MESSAGE_JOIN:
      unpack_join (u, &m->member, &m->version);
      break;
    default:
      unpack_common (u, parent, m);
    }
  return !u->failed;
}

bool
message_decode (void *parent, struct bstr bytes,
                const unsigned char key[SECRET_BYTES], struct message *m,
                struct error *err)
{
  const size_t overhead
      = crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
  memset (m, 0, sizeof *m);
  if (bytes.len <= overhead || bytes.len > MESSAGE_MAX_BYTES)
    return error_set (
        err, ERROR_INVALID,
        "peer message has %zu bytes, which is too few or too many", bytes.len);
  const unsigned char *raw = (const unsigned char *)bytes.start;
  size_t len = bytes.len - overhead;
  unsigned char *plain = talloc_array (parent, unsigned char, len);
  if (crypto_secretbox_open_easy (plain, raw + crypto_secretbox_NONCEBYTES,
                                  bytes.len - crypto_secretbox_NONCEBYTES, raw,
                                  key)
      != 0)
    return error_set (err, ERROR_INVALID,
                      "peer message is not encrypted with the fleet secret");
  struct unpack u;
  bool ok = unpack_begin (&u, (struct bstr){ (const char *)plain, len })
            && unpack_body (&u, parent, m);
  unpack_end (&u);
  if (!ok)
    return error_set (err, ERROR_INVALID, "peer message is malformed");
  return true;
}
