#include "common/address.h"
#include "common/clock.h"
#include "standins/postgres_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEEPALIVE_MS 100
/* Most records applied in one iteration of the event loop, so that sessions
   are served in between. */
#define APPLY_BATCH_RECORDS 200
/* Delay before the next attempt after sqlite failed to apply records. */
#define APPLY_RETRY_MS 5
#define NO_APPLY_DEADLINE INT64_MAX

/* Messages between stand-ins.  A follower sends 'F' to follow a primary: the
   position and term of its last record, and its own term.  A primary sends
   'd': a record; 'b': a copy of the database; 'k': a keepalive with its term;
   'x': the follower's log has diverged; 'n': the server is not a primary that
   this follower may follow. */

static void
send_record (struct session *follower, const struct wal_record *record)
{
  size_t at = wire_begin_message (follower, &follower->out, 'd');
  wire_append_int64 (follower, &follower->out, record->lsn);
  wire_append_int64 (follower, &follower->out, record->term);
  wire_append (follower, &follower->out, record->sql.start, record->sql.len);
  wire_end_message (&follower->out, at);
}

static void
send_keepalive (struct session *follower)
{
  size_t at = wire_begin_message (follower, &follower->out, 'k');
  wire_append_int64 (follower, &follower->out, follower->server->store->term);
  wire_end_message (&follower->out, at);
}

static void
send_database_copy (struct session *follower)
{
  struct store *store = follower->server->store;
  struct bstr image = store_copy_image (store, follower);
  size_t at = wire_begin_message (follower, &follower->out, 'b');
  wire_append_int64 (follower, &follower->out, store_received_lsn (store));
  wire_append_int64 (follower, &follower->out, store_received_term (store));
  wire_append (follower, &follower->out, image.start, image.len);
  wire_end_message (&follower->out, at);
  talloc_free ((void *)image.start);
}

static void
on_ship_timer (struct tevent_context *ev, struct tevent_timer *te,
               struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct server *server = data;
  server->ship_timer = NULL;
  replication_ship_records (server);
}

/* Send the records whose shipping delay is over to one follower.
   @return the time at which its next record is due, us, or INT64_MAX. */
static int64_t
ship_to_follower (struct session *s, int64_t now)
{
  const struct store *store = s->server->store;
  int64_t delay = s->server->ship_delay_ms * USEC_PER_MSEC;
  int64_t due = INT64_MAX;
  while (s->next_record < store->record_count)
    {
      const struct wal_record *record
          = store_get_record (store, s->next_record);
      if (record->received + delay > now)
        {
          due = record->received + delay;
          break;
        }
      send_record (s, record);
      s->next_record++;
    }
  session_flush (s);
  return due;
}

void
replication_ship_records (struct server *server)
{
  int64_t now = clock_now (), due = INT64_MAX;
  struct session *next;
  for (struct session *s = server->sessions; s != NULL && !server->partitioned;
       s = next)
    {
      next = s->next;
      if (!s->is_follower)
        continue;
      if (s->next_record < server->store->dropped_count)
        {
          /* Its next record is no longer kept, so the follower must be
             rebuilt. */
          session_close (s);
          continue;
        }
      int64_t next_due = ship_to_follower (s, now);
      if (next_due < due)
        due = next_due;
    }
  if (due != INT64_MAX && server->ship_timer == NULL)
    server->ship_timer = tevent_add_timer (
        server->ev, server,
        server_time_after_ms ((due - now) / USEC_PER_MSEC + 1), on_ship_timer,
        server);
}

static void
on_apply_timer (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct server *server = data;
  int64_t lag = server->apply_lag_ms * USEC_PER_MSEC;
  server->apply_timer = NULL;
  if (!server->store->in_recovery)
    return;
  if (store_apply (server->store, clock_now () - lag, APPLY_BATCH_RECORDS) < 0)
    server->apply_timer = tevent_add_timer (
        server->ev, server, server_time_after_ms (APPLY_RETRY_MS),
        on_apply_timer, server);
  else
    replication_schedule_apply (server);
}

void
replication_schedule_apply (struct server *server)
{
  const struct store *store = server->store;
  if (!store->in_recovery || store->applied_count == store->record_count)
    return;
  int64_t wait = store_get_record (store, store->applied_count)->received
                 + server->apply_lag_ms * USEC_PER_MSEC - clock_now ();
  TALLOC_FREE (server->apply_timer);
  server->apply_timer = tevent_add_timer (
      server->ev, server,
      wait > 0 ? tevent_timeval_current_ofs ((uint32_t)(wait / USEC_PER_SEC),
                                             (uint32_t)(wait % USEC_PER_SEC))
               : tevent_timeval_zero (),
      on_apply_timer, server);
}

void
replication_stop_following (struct server *server)
{
  if (server->upstream != NULL)
    session_close (server->upstream);
  TALLOC_FREE (server->primary);
}

bool
replication_promote (struct server *server, uint64_t term)
{
  int applied;
  replication_stop_following (server);
  do
    applied
        = store_apply (server->store, NO_APPLY_DEADLINE, APPLY_BATCH_RECORDS);
  while (applied > 0);
  if (applied < 0)
    return false;
  server->store->term = term;
  server->store->in_recovery = false;
  return true;
}

/* Close all sessions but the control sessions and @p except. */
static void
close_client_sessions (struct server *server, const struct session *except)
{
  struct session *next;
  for (struct session *s = server->sessions; s != NULL; s = next)
    {
      next = s->next;
      /* A connection whose startup message was not read yet is served
         afterwards, as by a server that has just started. */
      if (!s->is_control && s != except && s->started)
        session_close (s);
    }
}

void
replication_follow (struct session *by, struct bstr primary)
{
  struct server *server = by->server;
  replication_stop_following (server);
  if (primary.len == 0)
    return;
  /* PostgreSQL restarts to become a replica, which ends its sessions. */
  if (!server->store->in_recovery)
    close_client_sessions (server, by);
  server->store->in_recovery = true;
  server->primary = bstr_to_text (server, primary);
  replication_connect (server);
}

void
replication_connect (struct server *server)
{
  static const char startup[] = "user\0replication\0";
  struct sockaddr_in address;
  if (server->upstream != NULL || server->partitioned
      || !address_parse (server->primary, &address))
    return;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return;
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return;
    }
  struct session *s = session_create (server, fd);
  s->is_upstream = true;
  s->started = true;
  s->is_control = true;
  server->upstream = s;
  wire_append_int32 (s, &s->out, (int32_t)(8 + sizeof startup));
  wire_append_int32 (s, &s->out, PROTOCOL_VERSION_3);
  wire_append (s, &s->out, startup, sizeof startup);
  size_t at = wire_begin_message (s, &s->out, 'F');
  wire_append_int64 (s, &s->out, store_received_lsn (server->store));
  wire_append_int64 (s, &s->out, store_received_term (server->store));
  wire_append_int64 (s, &s->out, server->store->term);
  wire_end_message (&s->out, at);
  session_flush (s);
}

/* Replace the data of this replica.  Its sessions end, as they would by a
   restart; of the control sessions only those that have a database connection,
   as store_reset requires that there is none.
   @param image as store_reset expects it. */
static void
rebuild_replica (struct server *server, struct bstr image, uint64_t lsn,
                 uint64_t term)
{
  struct error err = { 0 };
  struct session *next;
  close_client_sessions (server, NULL);
  for (struct session *s = server->sessions; s != NULL; s = next)
    {
      next = s->next;
      if (s->connection != NULL)
        session_close (s);
    }
  TALLOC_FREE (server->apply_timer);
  if (!store_reset (server->store, image, lsn, term, &err))
    {
      fprintf (stderr, "standin-postgres: rebuild failed: %s\n", err.text);
      exit (EXIT_FAILURE);
    }
  server->store->in_recovery = true;
}

void
replication_on_primary_message (struct session *s, char type,
                                struct bstr payload)
{
  struct server *server = s->server;
  struct store *store = server->store;
  if (type == 'd' && payload.len >= 16)
    {
      server->last_received = clock_now ();
      store_append_received (store, wire_decode_uint64 (payload.start),
                             wire_decode_uint64 (payload.start + 8),
                             bstr_skip (payload, 16));
      if (server->apply_timer == NULL)
        replication_schedule_apply (server);
    }
  else if (type == 'b' && payload.len > 16)
    {
      server->last_received = clock_now ();
      rebuild_replica (server, bstr_skip (payload, 16),
                       wire_decode_uint64 (payload.start),
                       wire_decode_uint64 (payload.start + 8));
    }
  else if (type == 'k' && payload.len >= 8)
    {
      server->last_received = clock_now ();
      if (wire_decode_uint64 (payload.start) > store->term)
        store->term = wire_decode_uint64 (payload.start);
    }
  else if (type == 'x' && server->auto_rebuild)
    {
      fprintf (stderr, "standin-postgres: rebuild after divergence\n");
      rebuild_replica (server, (struct bstr){ NULL, 0 }, 0, 0);
      session_close (s);
    }
  else if (type == 'x' || type == 'n')
    session_close (s);
}

void
replication_on_follow_request (struct session *s, struct bstr payload)
{
  struct store *store = s->server->store;
  if (payload.len < 24)
    return;
  uint64_t lsn = wire_decode_uint64 (payload.start);
  ssize_t start = store_find_follower_start (
      store, lsn, wire_decode_uint64 (payload.start + 8));
  /* A replaced primary must not send records to a replica of a newer term. */
  if (store->in_recovery
      || wire_decode_uint64 (payload.start + 16) > store->term)
    session_send_empty_message (s, 'n');
  else if (start < 0 && store_is_first_lsn (lsn))
    {
      /* The follower is new, and the log does not reach back to its start. */
      send_database_copy (s);
      start = (ssize_t)store->record_count;
    }
  else if (start < 0)
    session_send_empty_message (s, 'x');
  if (start < 0 || store->in_recovery)
    return;
  s->is_follower = true;
  s->next_record = (size_t)start;
  send_keepalive (s);
  replication_ship_records (s->server);
}

static void
on_keepalive_timer (struct tevent_context *ev, struct tevent_timer *te,
                    struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct server *server = data;
  for (struct session *s = server->sessions; s != NULL; s = s->next)
    if (s->is_follower && !server->partitioned)
      {
        send_keepalive (s);
        session_flush (s);
      }
  if (server->primary != NULL && server->upstream == NULL)
    replication_connect (server);
  replication_start_keepalive_timer (server);
}

void
replication_start_keepalive_timer (struct server *server)
{
  tevent_add_timer (server->ev, server, server_time_after_ms (KEEPALIVE_MS),
                    on_keepalive_timer, server);
}
