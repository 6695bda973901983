#include "tests/scripted_member.h"

#include "tests/loop.h"

#include <stdio.h>

static void
on_packet (void *data, struct bstr bytes)
{
  struct scripted_member *d = data;
  void *scratch = talloc_new (NULL);
  struct packet *m = talloc_zero (scratch, struct packet);
  bool is_result
      = packet_decode (scratch, bytes, m) && m->kind == PACKET_RESULT;
  d->results += is_result;
  if (is_result && m->sender.receiver_incarnation == d->incarnation)
    {
      bool is_own = m->result.sequence >= d->first_sequence;
      d->own_results += is_own;
      d->foreign_results += !is_own;
    }
  if (is_result && m->result.sequence < SCRIPTED_MAX_RESULTS)
    {
      d->has_result[m->result.sequence] = true;
      d->outcomes[m->result.sequence] = m->result.outcome;
    }
  talloc_free (scratch);
}

static void
send_packet (struct scripted_member *d, struct packet *m)
{
  void *scratch = talloc_new (NULL);
  m->sender = (struct packet_sender){ .member = 77,
                                      .incarnation = d->incarnation,
                                      .stamp = clock_now () };
  bus_send (d->bus, d->address, packet_encode (scratch, m));
  talloc_free (scratch);
}

bool
scripted_member_listen (struct sessiond_site *s, struct scripted_member *d,
                        int send_queue)
{
  struct error err = { 0 };
  d->ev = tevent_context_init (s);
  d->bus = bus_create (s,
                       &(struct bus_options){ .ev = d->ev,
                                              .address = "tcp://127.0.0.1:*",
                                              .max_message = PACKET_MAX_BYTES,
                                              .send_queue = send_queue,
                                              .received = on_packet,
                                              .data = d },
                       &err);
  snprintf (d->address, sizeof d->address, "tcp://127.0.0.1:%d",
            sessiond_site_port (s, 0) + 3);
  return d->bus != NULL;
}

void
scripted_member_start (struct scripted_member *d)
{
  struct packet m = { .kind = PACKET_HEARTBEAT };
  m.heartbeat.name = bstr_from ("played");
  m.heartbeat.address = bstr_from (bus_address (d->bus));
  m.heartbeat.failure_domain = bstr_from ("zone-a");
  m.heartbeat.capacity = 1000;
  send_packet (d, &m);
}

bool
scripted_member_join (struct sessiond_site *s, struct scripted_member *d)
{
  d->incarnation = 1;
  if (!scripted_member_listen (s, d, 0))
    return false;
  scripted_member_start (d);
  return true;
}

void
scripted_member_send (struct scripted_member *d,
                      const struct scripted_statement *statement)
{
  struct packet m = { .kind = PACKET_STATEMENT };
  struct bstr empty = { "", 0 };
  char id[24];
  snprintf (id, sizeof id, "%da2b", (int)d->incarnation);
  m.statement = (struct packet_statement){
    .session = 1,
    .sequence = statement->sequence,
    .transaction = statement->transaction,
    .service = bstr_from ("ledger-1"),
    .organisation = bstr_from ("alpha"),
    .organisation_id = model_id (bstr_from ("alpha")),
    .kind = ROUTE_PRIMARY,
    .timeout_ms = 800,
    .target_ms = 200,
    .idle_transaction_ms = 3000,
    .verb = statement->verb,
    .is_read = statement->verb == VERB_READ,
    .in_transaction = statement->in_transaction,
    .id = bstr_from (statement->id != NULL ? statement->id : id),
    .text = bstr_from (statement->text),
    .shape = empty,
    .arguments = empty,
  };
  send_packet (d, &m);
}

/** What scripted_member_await waits for. */
struct awaited
{
  const struct scripted_member *member;
  uint64_t sequence;
};

static bool
has_result (const void *data)
{
  const struct awaited *a = data;
  return a->member->has_result[a->sequence];
}

bool
scripted_member_await (struct scripted_member *d, uint64_t sequence,
                       int timeout_ms)
{
  struct awaited a = { d, sequence };
  loop_run (d->ev, timeout_ms, has_result, &a);
  return has_result (&a);
}
