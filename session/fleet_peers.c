#include "session/callers.h"
#include "session/fleet_private.h"

/* A member that has been silent for longer is not alive: it gets no new
   statements.  This time and the next two are multiplied by
   peer_time_factor. */
#define SILENT_US (650 * USEC_PER_MSEC)
/* Silence after which the connection to the peer is reset. */
#define RESET_SILENCE_US (420 * USEC_PER_MSEC)
/* Silence after which a test connection shows whether the peer's process still
   listens. */
#define LISTEN_TEST_US (280 * USEC_PER_MSEC)
/* Pause between two resets of the connection to one peer. */
#define RESET_PAUSE_US (400 * USEC_PER_MSEC)
/* Pause between two test connections to one peer. */
#define LISTEN_TEST_PAUSE_US (150 * USEC_PER_MSEC)

struct peer *
peer_find (const struct fleet *f, uint64_t id)
{
  struct peer *p = f->peers;
  while (p != NULL && p->id != id)
    p = p->next;
  return p;
}

struct peer *
peer_add (struct fleet *f, uint64_t id)
{
  struct peer *p = peer_find (f, id);
  if (p != NULL)
    return p;
  p = talloc_zero (f, struct peer);
  p->fleet = f;
  p->id = id;
  p->unconfirmed_end = &p->unconfirmed;
  p->next = f->peers;
  f->peers = p;
  return p;
}

void
peer_set_text (struct peer *p, char **text, struct bstr value)
{
  if (*text != NULL && bstr_equals_text (value, *text))
    return;
  talloc_free (*text);
  *text = bstr_to_text (p, value);
}

int
peer_time_factor (const struct peer *p)
{
  return p->is_voter && lease_is_voter (p->fleet->leases)
             ? 1
             : OBSERVER_TIME_FACTOR;
}

bool
peer_is_alive (const struct peer *p, int64_t now)
{
  return p->received_at > 0 && !p->refused
         && now - p->received_at <= peer_time_factor (p) * SILENT_US;
}

bool
peer_send (struct fleet *f, struct peer *p, struct packet *message)
{
  message->sender = (struct packet_sender){
    .member = f->sessiond->self,
    .incarnation = f->sessiond->incarnation,
    .receiver_incarnation
    = message->kind == PACKET_HEARTBEAT ? 0 : p->incarnation,
    .stamp = clock_now (),
  };
  if (p->address == NULL)
    return false;
  if (message->kind == PACKET_HEARTBEAT)
    {
      struct bstr bytes = packet_encode (f, message);
      bool sent = bus_send (f->bus, p->address, bytes);
      talloc_free ((char *)bytes.start);
      return sent;
    }
  message->sender.number = ++p->last_sent_number;
  struct unconfirmed *u = talloc_zero (p, struct unconfirmed);
  u->stamp = message->sender.stamp;
  u->bytes = packet_encode (u, message);
  *p->unconfirmed_end = u;
  p->unconfirmed_end = &u->next;
  if (u->bytes.len >= FLEET_CHARGED_BYTES)
    memory_account_charge (f->sessiond->memory, u, u->bytes.len);
  bus_send (f->bus, p->address, u->bytes);
  return true;
}

/* A connection delivers in order: when a heartbeat has arrived, everything
   sent before it has arrived too. */
void
peer_confirm (struct peer *p, int64_t echo)
{
  while (p->unconfirmed != NULL && p->unconfirmed->stamp <= echo)
    {
      struct unconfirmed *u = p->unconfirmed;
      p->unconfirmed = u->next;
      talloc_free (u);
    }
  if (p->unconfirmed == NULL)
    p->unconfirmed_end = &p->unconfirmed;
}

void
peer_drop_unconfirmed (struct peer *p)
{
  peer_confirm (p, INT64_MAX);
}

/* Connections may go silent without an error.  Unconfirmed messages are sent
   again on the new connection; the receiver drops duplicates. */
void
peer_reset_connection (struct peer *p, int64_t now, const char *reason)
{
  struct fleet *f = p->fleet;
  int count = 0;
  if (p->address == NULL || now - p->last_reset < RESET_PAUSE_US)
    return;
  p->last_reset = now;
  bus_reset (f->bus, p->address);
  fleet_schedule_heartbeats (f);
  for (struct unconfirmed *u = p->unconfirmed; u != NULL; u = u->next, count++)
    bus_send (f->bus, p->address, u->bytes);
  if (p->last_reset_logged < p->received_at)
    log_info (PART, "event=connection_reset name=%s repeated=%d reason=\"%s\"",
              p->name != NULL ? LOG_TEXT (bstr_from (p->name)) : "unknown",
              count, reason);
  p->last_reset_logged = now;
}

/* The connection was refused: the peer's process has ended, or a network
   partition refuses connections.  Its leases last until their end. */
static void
mark_refused (struct peer *p)
{
  p->refused = true;
  peer_drop_unconfirmed (p);
  log_warn (PART, "event=daemon_ended name=%s reason=\"connection refused\"",
            LOG_TEXT (bstr_from (p->name)));
  callers_owners_changed (p->fleet->sessiond->callers);
}

static void
on_listen_test_line (void *data, struct bstr line)
{
  (void)data, (void)line;
}

static void
on_listen_test_closed (void *data, const char *reason)
{
  (void)reason;
  struct peer *p = data;
  bool refused = stream_was_refused (p->listen_test);
  p->listen_test = NULL;
  if (refused && !p->refused)
    mark_refused (p);
}

static const struct stream_ops listen_test_ops
    = { .line = on_listen_test_line, .closed = on_listen_test_closed };

/* Open a test connection to the peer's address; if it is refused, the peer is
   not alive for this member. */
static void
start_listen_test (struct peer *p, int64_t now)
{
  static const char scheme[] = "tcp://";
  struct error err = { 0 };
  p->last_listen_test = now;
  if (!bstr_starts_with (bstr_from (p->address), scheme))
    {
      log_warn (PART, "event=check_failed name=%s reason=\"no address\"",
                LOG_TEXT (bstr_from (p->name)));
      return;
    }
  if (p->listen_test != NULL)
    stream_abort (p->listen_test);
  p->listen_test = stream_connect (
      p->fleet, p->address + strlen (scheme),
      &(struct stream_options){
          .ev = p->fleet->sessiond->ev, .ops = &listen_test_ops, .data = p },
      &err);
  if (p->listen_test == NULL)
    log_warn (PART, "event=check_failed name=%s reason=\"%s\"",
              LOG_TEXT (bstr_from (p->name)), LOG_TEXT (bstr_from (err.text)));
}

void
peers_check (struct fleet *f, int64_t now)
{
  for (struct peer *p = f->peers; p != NULL; p = p->next)
    {
      int64_t silent = now - p->received_at;
      if (p->received_at == 0 || p->address == NULL)
        continue;
      int factor = peer_time_factor (p);
      if (silent > factor * SILENT_US)
        peer_drop_unconfirmed (p);
      if (silent > factor * LISTEN_TEST_US && !p->refused
          && silent < VOTER_REMOVE_US
          && now - p->last_listen_test > LISTEN_TEST_PAUSE_US)
        start_listen_test (p, now);
      else if (silent <= factor * LISTEN_TEST_US && p->listen_test != NULL)
        {
          stream_abort (p->listen_test);
          p->listen_test = NULL;
        }
      if (silent > factor * RESET_SILENCE_US && silent < VOTER_REMOVE_US)
        peer_reset_connection (p, now, "silent");
    }
}

void
peers_forget_observers (struct fleet *f, int64_t now)
{
  struct peer **at = &f->peers;
  while (*at != NULL)
    {
      struct peer *p = *at;
      if (p->is_voter || now - p->received_at < OBSERVER_FORGET_US
          || now - f->started_at < OBSERVER_FORGET_US)
        {
          at = &p->next;
          continue;
        }
      *at = p->next;
      lease_forget_member (f->leases, p->id);
      if (p->listen_test != NULL)
        stream_abort (p->listen_test);
      if (p->address != NULL)
        bus_reset (f->bus, p->address);
      talloc_free (p);
    }
}
