#include "session/packet.h"

#include "proto/pack.h"

#include <math.h>

/* Maximum demand of one organisation at one member, requests per second. */
#define MAX_DEMAND_PER_S 1e9
/* Units of an encoded demand in one request per second. */
#define DEMAND_UNITS 100

/* Fields of a heartbeat but the revisions and digests of the kinds. */
#define HEARTBEAT_FIELDS 19

/* Version of the message format; messages of other versions are dropped. */
#define PACKET_VERSION 7
/* Maximum capacity of a VM, thousandths of a core. */
#define MAX_CAPACITY_MILLICORES 1000000

/* Bits of the flags field of an encoded statement. */
enum statement_flag
{
  FLAG_IS_READ = 1,
  FLAG_IN_TRANSACTION = 2,
  FLAG_HAS_VALUES = 4,
  FLAG_FOR_READER = 8,
  FLAG_IS_COUNTED = 16,
  FLAG_IS_REPEAT = 32
};

static void
pack_position (struct pack *p, struct position position)
{
  pack_uint (p, position.term);
  pack_uint (p, position.number);
}

static struct position
unpack_position (struct unpack *u)
{
  struct position position;
  position.term = unpack_uint (u);
  position.number = unpack_uint (u);
  return position;
}

static struct bstr
unpack_string (void *parent, struct unpack *u)
{
  return bstr_copy (parent, unpack_bstr (u));
}

/* Like unpack_string, for a text that is used as one that ends at a NUL. */
static struct bstr
unpack_name (void *parent, struct unpack *u)
{
  struct bstr name = unpack_string (parent, u);
  u->failed |= memchr (name.start, 0, name.len) != NULL;
  return name;
}

/* @return the number of kinds whose revisions a heartbeat has.  A member that
   does not read the evacuations sends the same bytes as one that does not know
   the kind. */
static int
count_kinds (const struct packet_heartbeat *h)
{
  bool has_evacuations = h->revision[OBJECT_EVACUATIONS] != 0
                         || h->digest[OBJECT_EVACUATIONS] != 0;
  return has_evacuations ? OBJECT_KIND_COUNT : OBJECT_EVACUATIONS;
}

static void
pack_heartbeat (struct pack *p, const struct packet_heartbeat *h)
{
  int kinds = count_kinds (h);
  pack_array (p, HEARTBEAT_FIELDS + 2 * (unsigned)kinds);
  pack_bstr (p, h->name);
  pack_bstr (p, h->address);
  pack_bstr (p, h->failure_domain);
  pack_int (p, h->capacity);
  pack_uint (p, h->echo.incarnation);
  pack_int (p, h->echo.stamp);
  pack_bool (p, h->leaving);
  pack_bool (p, h->ready);
  pack_bool (p, h->wants_vote);
  pack_uint (p, h->epoch);
  pack_bool (p, h->reaches_store);
  pack_uint (p, h->config_version);
  for (int i = 0; i < kinds; i++)
    {
      pack_uint (p, h->revision[i]);
      pack_uint (p, h->digest[i]);
    }
  pack_array (p, (unsigned)h->claim_count * 4);
  for (int i = 0; i < h->claim_count; i++)
    {
      pack_uint (p, h->claims[i].service);
      pack_uint (p, h->claims[i].state);
      pack_bool (p, h->claims[i].owned);
      pack_uint (p, h->claims[i].term);
    }
  pack_array (p, (unsigned)h->grant_count * 5);
  for (int i = 0; i < h->grant_count; i++)
    {
      pack_uint (p, h->grants[i].service);
      pack_uint (p, h->grants[i].member);
      pack_uint (p, h->grants[i].incarnation);
      pack_bool (p, h->grants[i].changing);
      pack_uint (p, h->grants[i].term);
    }
  pack_array (p, (unsigned)h->successor_count * 2);
  for (int i = 0; i < h->successor_count; i++)
    {
      pack_uint (p, h->successors[i].service);
      pack_uint (p, h->successors[i].member);
    }
  pack_bool (p, h->has_demand);
  pack_bool (p, h->demand_is_full);
  pack_array (p, (unsigned)h->demand_count * 4);
  for (int i = 0; i < h->demand_count; i++)
    {
      pack_uint (p, h->demand[i].organisation);
      pack_uint (p, h->demand[i].spent);
      /* Small integers take fewer bytes than floating-point numbers. */
      pack_uint (p, (uint64_t)(h->demand[i].requests_per_s * DEMAND_UNITS));
      pack_int (p, (int64_t)floor (h->demand[i].tokens));
    }
  pack_array (p, (unsigned)h->progress_count * 3);
  for (int i = 0; i < h->progress_count; i++)
    {
      pack_uint (p, h->progress[i].service);
      pack_position (p, h->progress[i].position);
    }
}

static void
unpack_heartbeat (void *parent, struct unpack *u, struct packet_heartbeat *h)
{
  unsigned fields
      = unpack_array_any (u, HEARTBEAT_FIELDS + 2 * OBJECT_KIND_COUNT);
  int kinds = fields == HEARTBEAT_FIELDS + 2 * OBJECT_KIND_COUNT
                  ? OBJECT_KIND_COUNT
                  : OBJECT_EVACUATIONS;
  u->failed |= fields != HEARTBEAT_FIELDS + 2 * (unsigned)kinds;
  h->name = unpack_name (parent, u);
  h->address = unpack_name (parent, u);
  h->failure_domain = unpack_name (parent, u);
  int64_t capacity = unpack_int (u);
  u->failed |= capacity < 1 || capacity > MAX_CAPACITY_MILLICORES;
  h->capacity = (int)capacity;
  h->echo.incarnation = unpack_uint (u);
  h->echo.stamp = unpack_int (u);
  h->leaving = unpack_bool (u);
  h->ready = unpack_bool (u);
  h->wants_vote = unpack_bool (u);
  h->epoch = unpack_uint (u);
  h->reaches_store = unpack_bool (u);
  h->config_version = unpack_uint (u);
  for (int i = 0; i < kinds; i++)
    {
      h->revision[i] = unpack_uint (u);
      h->digest[i] = unpack_uint (u);
    }
  h->claim_count = (int)unpack_array_any (u, LEASE_MAX_SERVICES * 4) / 4;
  h->claims
      = talloc_zero_array (parent, struct lease_claim, (size_t)h->claim_count);
  for (int i = 0; i < h->claim_count; i++)
    {
      h->claims[i].service = unpack_uint (u);
      uint64_t state = unpack_uint (u);
      u->failed |= state >= LEASE_STATE_COUNT;
      h->claims[i].state = (enum lease_state)state;
      h->claims[i].owned = unpack_bool (u);
      h->claims[i].term = unpack_uint (u);
    }
  h->grant_count = (int)unpack_array_any (u, LEASE_MAX_SERVICES * 5) / 5;
  h->grants
      = talloc_zero_array (parent, struct lease_grant, (size_t)h->grant_count);
  for (int i = 0; i < h->grant_count; i++)
    {
      h->grants[i].service = unpack_uint (u);
      h->grants[i].member = unpack_uint (u);
      h->grants[i].incarnation = unpack_uint (u);
      h->grants[i].changing = unpack_bool (u);
      h->grants[i].term = unpack_uint (u);
    }
  h->successor_count = (int)unpack_array_any (u, LEASE_MAX_SERVICES * 2) / 2;
  h->successors = talloc_zero_array (parent, struct packet_successor,
                                     (size_t)h->successor_count);
  for (int i = 0; i < h->successor_count; i++)
    {
      h->successors[i].service = unpack_uint (u);
      h->successors[i].member = unpack_uint (u);
    }
  h->has_demand = unpack_bool (u);
  h->demand_is_full = unpack_bool (u);
  h->demand_count = (int)unpack_array_any (u, PACKET_MAX_DEMAND * 4) / 4;
  h->demand = talloc_zero_array (parent, struct limits_usage,
                                 (size_t)h->demand_count);
  for (int i = 0; i < h->demand_count; i++)
    {
      h->demand[i].organisation = unpack_uint (u);
      h->demand[i].spent = unpack_uint (u);
      h->demand[i].requests_per_s = (double)unpack_uint (u) / DEMAND_UNITS;
      u->failed |= h->demand[i].requests_per_s > MAX_DEMAND_PER_S;
      h->demand[i].tokens = (double)unpack_int (u);
    }
  h->progress_count = (int)unpack_array_any (u, LEASE_MAX_SERVICES * 3) / 3;
  h->progress = talloc_zero_array (parent, struct packet_progress,
                                   (size_t)h->progress_count);
  for (int i = 0; i < h->progress_count; i++)
    {
      h->progress[i].service = unpack_uint (u);
      h->progress[i].position = unpack_position (u);
    }
}

static void
pack_statement (struct pack *p, const struct packet_statement *s)
{
  unsigned flags = (s->is_read ? FLAG_IS_READ : 0)
                   | (s->in_transaction ? FLAG_IN_TRANSACTION : 0)
                   | (s->has_values ? FLAG_HAS_VALUES : 0)
                   | (s->for_reader ? FLAG_FOR_READER : 0)
                   | (s->is_counted ? FLAG_IS_COUNTED : 0)
                   | (s->is_repeat ? FLAG_IS_REPEAT : 0);
  pack_array (p, 21);
  pack_uint (p, s->session);
  pack_uint (p, s->sequence);
  pack_uint (p, s->transaction);
  pack_bstr (p, s->service);
  pack_bstr (p, s->organisation);
  pack_uint (p, s->organisation_id);
  pack_uint (p, s->kind);
  pack_int (p, s->timeout_ms);
  pack_int (p, s->target_ms);
  pack_int (p, s->priority);
  pack_int (p, s->stale_ms);
  pack_int (p, s->idle_transaction_ms);
  pack_uint (p, s->verb);
  pack_uint (p, flags);
  pack_bstr (p, s->id);
  pack_bstr (p, s->text);
  pack_bstr (p, s->shape);
  pack_bstr (p, s->arguments);
  pack_position (p, s->own);
  pack_array (p, (unsigned)s->value_count * 2);
  for (int i = 0; i < s->value_count; i++)
    {
      pack_bstr (p, s->values[i].name);
      pack_bstr (p, s->values[i].value);
    }
}

/* @return whether the enum values are valid; other errors set failed of
   @p u. */
static bool
unpack_statement (void *parent, struct unpack *u, struct packet_statement *s)
{
  unpack_array (u, 21);
  s->session = unpack_uint (u);
  s->sequence = unpack_uint (u);
  s->transaction = unpack_uint (u);
  s->service = unpack_string (parent, u);
  s->organisation = unpack_string (parent, u);
  s->organisation_id = unpack_uint (u);
  uint64_t kind = unpack_uint (u);
  s->timeout_ms = (int)unpack_int (u);
  s->target_ms = (int)unpack_int (u);
  s->priority = (int)unpack_int (u);
  s->stale_ms = (int)unpack_int (u);
  s->idle_transaction_ms = (int)unpack_int (u);
  uint64_t verb = unpack_uint (u);
  uint64_t flags = unpack_uint (u);
  s->id = unpack_string (parent, u);
  s->text = unpack_string (parent, u);
  s->shape = unpack_string (parent, u);
  s->arguments = unpack_string (parent, u);
  s->own = unpack_position (u);
  s->value_count = (int)unpack_array_any (u, SESSION_MAX_VALUES * 2) / 2;
  s->values = talloc_array (parent, struct session_value,
                            (size_t)s->value_count + 1);
  for (int i = 0; i < s->value_count; i++)
    {
      s->values[i].name = unpack_string (parent, u);
      s->values[i].value = unpack_string (parent, u);
    }
  s->kind = (enum route_kind)kind;
  s->verb = (enum statement_verb)verb;
  s->is_read = (flags & FLAG_IS_READ) != 0;
  s->in_transaction = (flags & FLAG_IN_TRANSACTION) != 0;
  s->has_values = (flags & FLAG_HAS_VALUES) != 0;
  s->for_reader = (flags & FLAG_FOR_READER) != 0;
  s->is_counted = (flags & FLAG_IS_COUNTED) != 0;
  s->is_repeat = (flags & FLAG_IS_REPEAT) != 0;
  return kind <= ROUTE_READ_YOUR_WRITES && verb < VERB_COUNT;
}

static void
pack_result (struct pack *p, const struct packet_result *r)
{
  pack_array (p, 11);
  pack_uint (p, r->session);
  pack_uint (p, r->sequence);
  pack_bool (p, r->moved);
  pack_uint (p, r->outcome);
  pack_bstr (p, r->text);
  pack_int (p, r->retry_ms);
  pack_bstr (p, r->signature);
  pack_position (p, r->position);
  pack_bool (p, r->is_counted);
  pack_array (p, (unsigned)r->row_count);
  for (int i = 0; i < r->row_count; i++)
    pack_bstr (p, r->rows[i]);
}

/* @return as unpack_statement. */
static bool
unpack_result (void *parent, struct unpack *u, struct packet_result *r)
{
  unpack_array (u, 11);
  r->session = unpack_uint (u);
  r->sequence = unpack_uint (u);
  r->moved = unpack_bool (u);
  uint64_t outcome = unpack_uint (u);
  r->text = unpack_string (parent, u);
  r->retry_ms = (int)unpack_int (u);
  r->signature = unpack_string (parent, u);
  r->position = unpack_position (u);
  r->is_counted = unpack_bool (u);
  r->row_count = (int)unpack_array_any (u, PACKET_MAX_ROWS);
  r->rows = talloc_array (parent, struct bstr, (size_t)r->row_count + 1);
  for (int i = 0; i < r->row_count; i++)
    r->rows[i] = unpack_string (parent, u);
  r->outcome = (enum outcome)outcome;
  return outcome < OUTCOME_COUNT;
}

static void
pack_probe (struct pack *p, const struct packet_probe *probe)
{
  pack_array (p, 5);
  pack_bstr (p, probe->service);
  pack_bstr (p, probe->endpoint);
  pack_bstr (p, probe->address);
  pack_bstr (p, probe->organisation);
  pack_bool (p, probe->reached);
}

static void
unpack_probe (void *parent, struct unpack *u, struct packet_probe *probe)
{
  unpack_array (u, 5);
  probe->service = unpack_name (parent, u);
  probe->endpoint = unpack_name (parent, u);
  probe->address = unpack_name (parent, u);
  probe->organisation = unpack_string (parent, u);
  probe->reached = unpack_bool (u);
}

static void
pack_commit (struct pack *p, const struct packet_commit *c)
{
  pack_array (p, 5);
  pack_uint (p, c->service);
  pack_uint (p, c->number);
  pack_position (p, c->position);
  pack_bool (p, c->noted);
}

static void
unpack_commit (struct unpack *u, struct packet_commit *c)
{
  unpack_array (u, 5);
  c->service = unpack_uint (u);
  c->number = unpack_uint (u);
  c->position = unpack_position (u);
  c->noted = unpack_bool (u);
}

struct bstr
packet_encode (void *parent, const struct packet *message)
{
  struct pack p;
  pack_begin (&p);
  pack_array (&p, 8);
  pack_uint (&p, PACKET_VERSION);
  pack_uint (&p, message->kind);
  pack_uint (&p, message->sender.member);
  pack_uint (&p, message->sender.incarnation);
  pack_uint (&p, message->sender.receiver_incarnation);
  pack_int (&p, message->sender.stamp);
  pack_uint (&p, message->sender.number);
  switch (message->kind)
    {
    case PACKET_HEARTBEAT:
      pack_heartbeat (&p, &message->heartbeat);
      break;
    case PACKET_STATEMENT:
      pack_statement (&p, &message->statement);
      break;
    case PACKET_RESULT:
      pack_result (&p, &message->result);
      break;
    case PACKET_ABANDON:
      pack_uint (&p, message->session);
      break;
    case PACKET_FETCH:
      pack_uint (&p, message->copy.kind);
      break;
    case PACKET_COPY:
      pack_array (&p, 4);
      pack_uint (&p, message->copy.kind);
      pack_uint (&p, message->copy.revision);
      pack_bstr (&p, message->copy.items);
      pack_uint (&p, message->copy.length);
      break;
    case PACKET_COMMIT:
    case PACKET_COMMIT_ANSWER:
      pack_commit (&p, &message->commit);
      break;
    default:
      pack_probe (&p, &message->probe);
      break;
    }
  struct bstr bytes = bstr_copy (parent, pack_bytes (&p));
  pack_end (&p);
  return bytes;
}

/* Unpack the part of a message that depends on its kind.
   @return false if a value is out of range; other errors set failed of
   @p u. */
static bool
unpack_body (void *parent, struct unpack *u, struct packet *message)
{
  uint64_t kind;
  switch (message->kind)
    {
    case PACKET_HEARTBEAT:
      unpack_heartbeat (parent, u, &message->heartbeat);
      return true;
    case PACKET_STATEMENT:
      return unpack_statement (parent, u, &message->statement);
    case PACKET_RESULT:
      return unpack_result (parent, u, &message->result);
    case PACKET_ABANDON:
      message->session = unpack_uint (u);
      return true;
    case PACKET_FETCH:
      kind = unpack_uint (u);
      message->copy.kind = (enum object_kind)kind;
      return kind < OBJECT_KIND_COUNT;
    case PACKET_COPY:
      unpack_array (u, 4);
      kind = unpack_uint (u);
      message->copy.kind = (enum object_kind)kind;
      message->copy.revision = unpack_uint (u);
      message->copy.items = unpack_string (parent, u);
      message->copy.length = unpack_uint (u);
      return kind < OBJECT_KIND_COUNT
             && message->copy.length <= PACKET_MAX_COPY_BYTES;
    case PACKET_COMMIT:
    case PACKET_COMMIT_ANSWER:
      unpack_commit (u, &message->commit);
      return true;
    default:
      unpack_probe (parent, u, &message->probe);
      return true;
    }
}

bool
packet_decode (void *parent, struct bstr bytes, struct packet *message)
{
  struct unpack u;
  bool ok = false;
  if (!unpack_begin (&u, bytes))
    goto done;
  unpack_array (&u, 8);
  uint64_t version = unpack_uint (&u);
  uint64_t kind = unpack_uint (&u);
  if (u.failed || version != PACKET_VERSION || kind >= PACKET_KIND_COUNT)
    goto done;
  message->kind = (enum packet_kind)kind;
  message->sender.member = unpack_uint (&u);
  message->sender.incarnation = unpack_uint (&u);
  message->sender.receiver_incarnation = unpack_uint (&u);
  message->sender.stamp = unpack_int (&u);
  message->sender.number = unpack_uint (&u);
  ok = unpack_body (parent, &u, message) && !u.failed;
done:
  unpack_end (&u);
  return ok;
}
