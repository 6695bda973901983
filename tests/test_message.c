#include "proto/message.h"
#include "tests/tests.h"

#include <sodium.h>
#include <stdio.h>

static const unsigned char fleet_key[SECRET_BYTES] = "fleet";
static const unsigned char other_key[SECRET_BYTES] = "other";

static const char *const type_names[] = {
  [MESSAGE_HEARTBEAT] = "heartbeat", [MESSAGE_VIEW] = "view",
  [MESSAGE_BUDGET] = "budget",       [MESSAGE_JOIN] = "join",
  [MESSAGE_FREEZE] = "freeze",       [MESSAGE_HOLDINGS] = "holdings",
  [MESSAGE_ALLOT] = "allot",         [MESSAGE_RELEASE] = "release",
  [MESSAGE_RELEASED] = "released",   [MESSAGE_FETCH] = "fetch",
  [MESSAGE_SNAPSHOT] = "snapshot",
};

#define LAST_TYPE MESSAGE_SNAPSHOT
#define OVERHEAD (crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES)

static struct message_view views[]
    = { { "lending-ledger", { .term = 4, .silence_us = -1 } },
        { "glazing-core",
          { .term = 1,
            .silence_us = 2500,
            .reaches_majority = true,
            .refused = true } } };
static struct budget_report reports[] = { { .organisation = "ledger/moshi",
                                            .fraction = 0.5,
                                            .tokens = 12,
                                            .demand = 3.25 } };
static struct message_fraction fractions[]
    = { { "ledger/moshi", 0.25 }, { "ledger/arusha", 1.0 / 3 } };

static struct message
make_message (enum message_type type)
{
  struct message m = { .type = type, .from = UINT64_MAX - 1 };
  switch (type)
    {
    case MESSAGE_HEARTBEAT:
      m.heartbeat = (struct cell_heartbeat){ .from = m.from,
                                             .to = 43,
                                             .version = 3,
                                             .settled = 2,
                                             .silent = { 7, 8 },
                                             .silent_count = 2,
                                             .sent_at = 1000000,
                                             .echo = -5,
                                             .leaving = true };
      m.config_version = 70000;
      m.keys_version = 6;
      m.views = views;
      m.view_count = 2;
      m.reports = reports;
      m.report_count = 1;
      break;
    case MESSAGE_VIEW:
      m.views = views;
      m.view_count = 2;
      break;
    case MESSAGE_BUDGET:
      m.budget = (struct budget_message){ .kind = BUDGET_GRANT_ACK,
                                          .from = m.from,
                                          .to = 43,
                                          .version = 3,
                                          .organisation = "ledger/moshi",
                                          .id = 9,
                                          .fraction = 0.125,
                                          .tokens = 10.5,
                                          .urgent = true,
                                          .held_fraction = 0.5,
                                          .held_tokens = 20,
                                          .last_grantee = 44 };
      break;
    case MESSAGE_JOIN:
      m.version = 7;
      m.member = (struct cell_member){ .id = 42,
                                       .name = "vm-1",
                                       .address = "tcp://127.0.0.1:7000" };
      break;
    default:
      m.version = 1ULL << 40;
      m.age_us = -3;
      m.fractions = fractions;
      m.fraction_count = 2;
      snprintf (m.name, sizeof m.name, "azurewind/config");
      m.value = (struct bstr){ "a\0b", 3 };
    }
  return m;
}

/* @return the decrypted content of a message. */
static struct bstr
decrypt (void *parent, struct bstr sealed)
{
  unsigned char *plain
      = talloc_array (parent, unsigned char, sealed.len - OVERHEAD);
  const unsigned char *raw = (const unsigned char *)sealed.start;
  CU_ASSERT_EQUAL (
      crypto_secretbox_open_easy (plain, raw + crypto_secretbox_NONCEBYTES,
                                  sealed.len - crypto_secretbox_NONCEBYTES,
                                  raw, fleet_key),
      0);
  return (struct bstr){ (char *)plain, sealed.len - OVERHEAD };
}

/* Encrypt @p plain as a member of the fleet would. */
static struct bstr
encrypt (void *parent, struct bstr plain)
{
  size_t size = plain.len + OVERHEAD;
  unsigned char *sealed = talloc_zero_array (parent, unsigned char, size);
  crypto_secretbox_easy (sealed + crypto_secretbox_NONCEBYTES,
                         (const unsigned char *)plain.start, plain.len, sealed,
                         fleet_key);
  return (struct bstr){ (char *)sealed, size };
}

static bool
is_refused (void *parent, struct bstr sealed, const unsigned char *key)
{
  struct message m;
  struct error err = { 0 };
  return !message_decode (parent, sealed, key, &m, &err)
         && err.code == ERROR_INVALID;
}

static void
check_heartbeat (const struct message *a, const struct message *b)
{
  const struct cell_heartbeat *x = &a->heartbeat, *y = &b->heartbeat;
  CU_ASSERT (x->from == y->from && x->to == y->to && x->version == y->version
             && x->settled == y->settled && x->sent_at == y->sent_at
             && x->echo == y->echo && x->leaving == y->leaving
             && x->silent_count == y->silent_count
             && memcmp (x->silent, y->silent, sizeof x->silent) == 0);
  CU_ASSERT (a->config_version == b->config_version
             && a->keys_version == b->keys_version);
  CU_ASSERT_EQUAL_FATAL (a->view_count, b->view_count);
  for (int i = 0; i < a->view_count; i++)
    {
      const struct primary_view *v = &a->views[i].view, *w = &b->views[i].view;
      CU_ASSERT_STRING_EQUAL (a->views[i].group, b->views[i].group);
      CU_ASSERT (v->term == w->term && v->silence_us == w->silence_us
                 && v->reaches_majority == w->reaches_majority
                 && w->member == a->from);
    }
  CU_ASSERT_EQUAL_FATAL (a->report_count, b->report_count);
  for (int i = 0; i < a->report_count; i++)
    {
      const struct budget_report *r = &a->reports[i], *s = &b->reports[i];
      CU_ASSERT_STRING_EQUAL (r->organisation, s->organisation);
      CU_ASSERT (r->fraction == s->fraction && r->tokens == s->tokens
                 && r->demand == s->demand && s->from == a->from);
    }
}

static void
check_equal (const struct message *a, const struct message *b)
{
  const struct budget_message *x = &a->budget, *y = &b->budget;
  CU_ASSERT (a->type == b->type && a->from == b->from
             && a->version == b->version && a->age_us == b->age_us);
  check_heartbeat (a, b);
  CU_ASSERT_STRING_EQUAL (x->organisation, y->organisation);
  CU_ASSERT (x->kind == y->kind && x->from == y->from && x->to == y->to
             && x->version == y->version && x->id == y->id
             && x->fraction == y->fraction && x->tokens == y->tokens
             && x->urgent == y->urgent && x->held_fraction == y->held_fraction
             && x->held_tokens == y->held_tokens
             && x->last_grantee == y->last_grantee);
  CU_ASSERT_EQUAL (a->member.id, b->member.id);
  CU_ASSERT_STRING_EQUAL (a->member.name, b->member.name);
  CU_ASSERT_STRING_EQUAL (a->member.address, b->member.address);
  CU_ASSERT_STRING_EQUAL (a->name, b->name);
  CU_ASSERT (bstr_equals (a->value, b->value));
  CU_ASSERT_EQUAL_FATAL (a->fraction_count, b->fraction_count);
  for (int i = 0; i < a->fraction_count; i++)
    {
      CU_ASSERT_STRING_EQUAL (a->fractions[i].organisation,
                              b->fractions[i].organisation);
      CU_ASSERT_EQUAL (a->fractions[i].fraction, b->fractions[i].fraction);
    }
}

/* Guards against a field that is lost, cut at a NUL or decoded into another
   field. */
static void
every_type_survives_a_round_trip (void)
{
  void *scratch = talloc_new (NULL);
  for (int type = MESSAGE_HEARTBEAT; type <= LAST_TYPE; type++)
    {
      struct message read, m = make_message ((enum message_type)type);
      struct bstr sealed = message_encode (scratch, &m, fleet_key);
      CU_ASSERT_TRUE_FATAL (
          message_decode (scratch, sealed, fleet_key, &read, NULL));
      check_equal (&m, &read);
    }
  talloc_free (scratch);
}

/* Guards against a change of the encoding that daemons of the previous version
   cannot decode. */
static void
bytes_on_the_wire_stay_the_same (void)
{
  void *scratch = talloc_new (NULL);
  char *text = talloc_strdup (scratch, "");
  for (int type = MESSAGE_HEARTBEAT; type <= LAST_TYPE; type++)
    {
      struct message m = make_message ((enum message_type)type);
      struct bstr plain
          = decrypt (scratch, message_encode (scratch, &m, fleet_key));
      text = talloc_asprintf_append (text, "%s %zu bytes\n", type_names[type],
                                     plain.len + OVERHEAD);
      for (size_t i = 0; i < plain.len; i++)
        text = talloc_asprintf_append (
            text, "%02x%s", (unsigned char)plain.start[i],
            i % 32 == 31 || i + 1 == plain.len ? "\n" : "");
    }
  CU_ASSERT (golden_matches ("message-bytes.txt", bstr_from (text)));
  talloc_free (scratch);
}

/* Guards against a message that is accepted although it comes from outside the
   fleet or has a changed bit. */
static void
unsealed_messages_are_refused (void)
{
  void *scratch = talloc_new (NULL);
  struct message m = make_message (MESSAGE_HEARTBEAT);
  struct bstr sealed = message_encode (scratch, &m, fleet_key);
  CU_ASSERT (is_refused (scratch, sealed, other_key));
  int accepted = 0;
  char *bytes = bstr_to_text (scratch, sealed);
  for (size_t i = 0; i < sealed.len; i++)
    {
      bytes[i] ^= 1;
      accepted += !is_refused (scratch, (struct bstr){ bytes, sealed.len },
                               fleet_key);
      bytes[i] ^= 1;
      accepted += !is_refused (scratch, (struct bstr){ bytes, i }, fleet_key);
    }
  CU_ASSERT_EQUAL (accepted, 0);
  /* The unchanged bytes are accepted, so the changes caused the refusals. */
  CU_ASSERT_FALSE (
      is_refused (scratch, (struct bstr){ bytes, sealed.len }, fleet_key));
  talloc_free (scratch);
}

/* Guards against a decoder that accepts an incomplete message of a faulty
   daemon, or reads past its end. */
static void
sealed_parts_are_refused (void)
{
  void *scratch = talloc_new (NULL);
  int accepted = 0;
  for (int type = MESSAGE_HEARTBEAT; type <= LAST_TYPE; type++)
    {
      struct message m = make_message ((enum message_type)type);
      struct bstr plain
          = decrypt (scratch, message_encode (scratch, &m, fleet_key));
      for (size_t i = 0; i < plain.len; i++)
        accepted += !is_refused (
            scratch, encrypt (scratch, (struct bstr){ plain.start, i }),
            fleet_key);
      struct bstr longer = bstr_copy (scratch, plain);
      longer.len++; /* In msgpack the terminating NUL is the number 0. */
      accepted += !is_refused (scratch, encrypt (scratch, longer), fleet_key);
      CU_ASSERT_FALSE (
          is_refused (scratch, encrypt (scratch, plain), fleet_key));
    }
  CU_ASSERT_EQUAL (accepted, 0);
  talloc_free (scratch);
}

/* Guards against a daemon that decodes a message of an unknown version or type
   as if it knew it. */
static void
other_versions_and_types_are_refused (void)
{
  void *scratch = talloc_new (NULL);
  struct message m = make_message (MESSAGE_FETCH);
  char *bytes = bstr_to_text (
      scratch, decrypt (scratch, message_encode (scratch, &m, fleet_key)));
  struct bstr plain = { bytes, talloc_get_size (bytes) - 1 };
  for (int version = 0; version < 128; version++)
    {
      bytes[1] = (char)version;
      CU_ASSERT_EQUAL (
          is_refused (scratch, encrypt (scratch, plain), fleet_key),
          version != 2);
    }
  bytes[1] = 2;
  bytes[2] = 0;
  CU_ASSERT (is_refused (scratch, encrypt (scratch, plain), fleet_key));
  bytes[2] = LAST_TYPE + 1;
  CU_ASSERT (is_refused (scratch, encrypt (scratch, plain), fleet_key));
  talloc_free (scratch);
}

/* Guards against a receiver that processes a message above the size limit, or
   one with more elements than its arrays hold or with values out of range. */
static void
sizes_are_bounded (void)
{
  void *scratch = talloc_new (NULL);
  struct message m = make_message (MESSAGE_SNAPSHOT);
  char *big = talloc_zero_array (scratch, char, MESSAGE_MAX_BYTES);
  m.value = (struct bstr){ big, MESSAGE_MAX_BYTES - 200 };
  struct bstr sealed = message_encode (scratch, &m, fleet_key);
  CU_ASSERT (sealed.len <= MESSAGE_MAX_BYTES);
  CU_ASSERT_FALSE (is_refused (scratch, sealed, fleet_key));
  m.value.len += MESSAGE_MAX_BYTES - sealed.len;
  sealed = message_encode (scratch, &m, fleet_key);
  CU_ASSERT_EQUAL (sealed.len, MESSAGE_MAX_BYTES);
  CU_ASSERT_FALSE (is_refused (scratch, sealed, fleet_key));
  m.value.len++;
  CU_ASSERT (is_refused (scratch, message_encode (scratch, &m, fleet_key),
                         fleet_key));

  m = make_message (MESSAGE_HEARTBEAT);
  m.views = talloc_zero_array (scratch, struct message_view,
                               MESSAGE_MAX_VIEWS + 1);
  m.view_count = MESSAGE_MAX_VIEWS;
  CU_ASSERT_FALSE (is_refused (
      scratch, message_encode (scratch, &m, fleet_key), fleet_key));
  m.view_count++;
  CU_ASSERT (is_refused (scratch, message_encode (scratch, &m, fleet_key),
                         fleet_key));

  m = make_message (MESSAGE_BUDGET);
  m.budget.fraction = 1.5;
  CU_ASSERT (is_refused (scratch, message_encode (scratch, &m, fleet_key),
                         fleet_key));
  m.budget.fraction = 1;
  m.budget.tokens = -1;
  CU_ASSERT (is_refused (scratch, message_encode (scratch, &m, fleet_key),
                         fleet_key));
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "every_type_survives_a_round_trip", every_type_survives_a_round_trip },
  { "bytes_on_the_wire_stay_the_same", bytes_on_the_wire_stay_the_same },
  { "unsealed_messages_are_refused", unsealed_messages_are_refused },
  { "sealed_parts_are_refused", sealed_parts_are_refused },
  { "other_versions_and_types_are_refused",
    other_versions_and_types_are_refused },
  { "sizes_are_bounded", sizes_are_bounded },
  { NULL, NULL },
};
TEST_SUITE (message, cases)
