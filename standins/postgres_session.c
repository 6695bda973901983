#include "standins/postgres_server.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_MESSAGE_BYTES (16 * 1024 * 1024)
/* Largest message from the primary: it may hold a copy of the whole
   database. */
#define MAX_DATABASE_COPY_BYTES (1024 * 1024 * 1024)
#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define CANCEL_REQUEST 80877102
#define MAX_STARTUP_BYTES 10000
#define STARTUP_HEADER_BYTES 8
/* Delay before a message is retried after sqlite reported a lock.  That is
   rare, as the stand-in has a write lock of its own; it happens while sqlite
   recovers its log, for instance. */
#define BUSY_RETRY_MS 1

struct timeval
server_time_after_ms (int64_t ms)
{
  return tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                     (uint32_t)(ms % 1000) * 1000);
}

void
session_flush (struct session *s)
{
  if (s->closed)
    return;
  while (s->out.used > 0)
    {
      ssize_t n = send (s->fd, wire_data (&s->out), s->out.used, MSG_NOSIGNAL);
      if (n <= 0)
        break;
      wire_consume (&s->out, (size_t)n);
    }
  if (s->out.used > 0)
    TEVENT_FD_WRITEABLE (s->fde);
  else
    TEVENT_FD_NOT_WRITEABLE (s->fde);
}

void
session_send_empty_message (struct session *s, char type)
{
  wire_end_message (&s->out, wire_begin_message (s, &s->out, type));
}

static void
send_ready_for_query (struct session *s)
{
  size_t at = wire_begin_message (s, &s->out, 'Z');
  wire_append (s, &s->out, &s->state, 1);
  wire_end_message (&s->out, at);
}

void
session_send_error (struct session *s, const char *sqlstate, const char *text)
{
  size_t at = wire_begin_message (s, &s->out, 'E');
  wire_append (s, &s->out, "SERROR", 7);
  wire_append (s, &s->out, "VERROR", 7);
  wire_append (s, &s->out, "C", 1);
  wire_append_text (s, &s->out, sqlstate);
  wire_append (s, &s->out, "M", 1);
  wire_append_text (s, &s->out, text);
  wire_append (s, &s->out, "", 1);
  wire_end_message (&s->out, at);
  if (s->state == 'T')
    s->state = 'E';
}

void
session_send_command_complete (struct session *s, const char *tag)
{
  size_t at = wire_begin_message (s, &s->out, 'C');
  wire_append_text (s, &s->out, tag);
  wire_end_message (&s->out, at);
}

void
session_send_row_description (struct session *s, const char *const *names,
                              const int *oids, int count)
{
  size_t at = wire_begin_message (s, &s->out, 'T');
  wire_append_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      wire_append_text (s, &s->out, names[i]);
      wire_append_int32 (s, &s->out, 0);
      wire_append_int16 (s, &s->out, 0);
      wire_append_int32 (s, &s->out, oids[i]);
      wire_append_int16 (s, &s->out, oids[i] == OID_INT8 ? 8 : -1);
      wire_append_int32 (s, &s->out, -1);
      wire_append_int16 (s, &s->out, 0);
    }
  wire_end_message (&s->out, at);
}

void
session_send_data_row (struct session *s, const char *const *values, int count)
{
  size_t at = wire_begin_message (s, &s->out, 'D');
  wire_append_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      int32_t len = values[i] != NULL ? (int32_t)strlen (values[i]) : -1;
      wire_append_int32 (s, &s->out, len);
      if (len > 0)
        wire_append (s, &s->out, values[i], (size_t)len);
    }
  wire_end_message (&s->out, at);
}

static void
on_resume (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct session *s = data;
  s->resume_timer = NULL;
  s->waiting = false;
  session_process (s);
}

void
session_schedule_resume (struct session *s, int64_t delay_ms)
{
  s->waiting = true;
  TALLOC_FREE (s->resume_timer);
  s->resume_timer = tevent_add_timer (
      s->server->ev, s,
      delay_ms > 0 ? server_time_after_ms (delay_ms) : tevent_timeval_zero (),
      on_resume, s);
}

/* Release the current statement and its parameters. */
static void
clear_parameters (struct session *s)
{
  sql_release_statement (s);
  for (int i = 0; i < s->param_count; i++)
    TALLOC_FREE (s->params[i]);
  s->param_count = 0;
}

/* Make the session wait for the injected delay, once per statement.
   @return whether the wait has just begun. */
static bool
start_statement_delay (struct session *s)
{
  int64_t delay = s->server->statement_delay_ms;
  if (delay <= 0 || s->is_control || s->delay_served)
    return false;
  s->delay_served = true;
  session_schedule_resume (s, delay);
  return true;
}

/* Make the session wait for the network's round trip, once per message whose
   answer a client waits for; other sessions are served meanwhile.
   @return whether the wait has just begun. */
static bool
start_round_trip_delay (struct session *s)
{
  int64_t delay = s->server->round_trip_ms;
  if (delay <= 0 || s->is_control || s->round_trip_served)
    return false;
  s->round_trip_served = true;
  session_schedule_resume (s, delay);
  return true;
}

static enum run_result
on_simple_query (struct session *s, struct wire_reader *r)
{
  clear_parameters (s);
  sql_set_statement (s, wire_get_text (r));
  if (start_round_trip_delay (s) || start_statement_delay (s))
    return RUN_BLOCKED;
  enum run_result result = sql_prepare (s);
  if (result == RUN_DONE)
    result = sql_run (s, true);
  if (result == RUN_BLOCKED)
    return result;
  s->delay_served = false;
  s->round_trip_served = false;
  send_ready_for_query (s);
  return RUN_DONE;
}

static enum run_result
on_sync (struct session *s)
{
  if (start_round_trip_delay (s))
    return RUN_BLOCKED;
  s->round_trip_served = false;
  s->skip_to_sync = false;
  send_ready_for_query (s);
  return RUN_DONE;
}

/* @return the link to the named statement, or the end of the list. */
static struct named_statement **
find_named_statement (struct session *s, const char *name)
{
  struct named_statement **at = &s->named_statements;
  while (*at != NULL && strcmp ((*at)->name, name) != 0)
    at = &(*at)->next;
  return at;
}

static void
remove_named_statement (struct session *s, const char *name)
{
  struct named_statement **at = find_named_statement (s, name);
  struct named_statement *found = *at;
  if (found != NULL)
    {
      *at = found->next;
      talloc_free (found);
    }
}

static enum run_result
on_parse (struct session *s, struct wire_reader *r)
{
  const char *name = wire_get_text (r);
  const char *text = wire_get_text (r);
  if (*name == '\0')
    sql_set_statement (s, text);
  else
    {
      struct named_statement *named = talloc_zero (s, struct named_statement);
      remove_named_statement (s, name);
      named->name = talloc_strdup (named, name);
      named->text = talloc_strdup (named, text);
      named->next = s->named_statements;
      s->named_statements = named;
    }
  session_send_empty_message (s, '1');
  return RUN_DONE;
}

/* Make a named statement the current one; an empty name keeps the current
   one, which is the unnamed statement. */
static enum run_result
select_named_statement (struct session *s, const char *name)
{
  if (*name == '\0')
    return RUN_DONE;
  const struct named_statement *found = *find_named_statement (s, name);
  if (found == NULL)
    {
      session_send_error (s, "26000", "the prepared statement is unknown");
      return RUN_ERROR;
    }
  sql_set_statement (s, found->text);
  return RUN_DONE;
}

static enum run_result
on_bind (struct session *s, struct wire_reader *r)
{
  /* Skip the name of the portal: each session has only one. */
  wire_get_text (r);
  const char *name = wire_get_text (r);
  int formats = wire_get_int16 (r);
  for (int i = 0; i < formats; i++)
    if (wire_get_int16 (r) != 0)
      {
        session_send_error (s, "0A000", "binary format is not supported");
        return RUN_ERROR;
      }
  int count = wire_get_int16 (r);
  clear_parameters (s);
  if (count > MAX_PARAMETERS)
    {
      session_send_error (s, "54023", "too many parameters");
      return RUN_ERROR;
    }
  for (int i = 0; i < count; i++)
    {
      int32_t len = wire_get_int32 (r);
      if (len >= 0)
        s->params[i] = bstr_to_text (s, wire_get_bytes (r, (size_t)len));
      s->param_count = i + 1;
    }
  if (select_named_statement (s, name) != RUN_DONE
      || sql_prepare (s) != RUN_DONE)
    return RUN_ERROR;
  session_send_empty_message (s, '2');
  return RUN_DONE;
}

static enum run_result
on_describe (struct session *s, struct wire_reader *r)
{
  struct bstr target = wire_get_bytes (r, 1);
  if (!r->failed && target.start[0] == 'S')
    {
      if (select_named_statement (s, wire_get_text (r)) != RUN_DONE
          || sql_prepare (s) != RUN_DONE)
        return RUN_ERROR;
      int count = s->stmt != NULL ? sqlite3_bind_parameter_count (s->stmt) : 0;
      size_t at = wire_begin_message (s, &s->out, 't');
      wire_append_int16 (s, &s->out, count);
      for (int i = 0; i < count; i++)
        wire_append_int32 (s, &s->out, OID_TEXT);
      wire_end_message (&s->out, at);
    }
  sql_describe (s);
  return RUN_DONE;
}

static enum run_result
on_execute (struct session *s)
{
  if (start_statement_delay (s))
    return RUN_BLOCKED;
  enum run_result result = sql_run (s, false);
  if (result != RUN_BLOCKED)
    s->delay_served = false;
  return result;
}

static enum run_result
on_close (struct session *s, struct wire_reader *r)
{
  struct bstr target = wire_get_bytes (r, 1);
  if (!r->failed && target.start[0] == 'S')
    remove_named_statement (s, wire_get_text (r));
  session_send_empty_message (s, '3');
  return RUN_DONE;
}

static enum run_result
dispatch_message (struct session *s, char type, struct bstr payload)
{
  struct wire_reader r = { payload, false };
  if (s->is_upstream)
    {
      replication_on_primary_message (s, type, payload);
      return RUN_DONE;
    }
  if (s->skip_to_sync && type != 'S' && type != 'X')
    return RUN_DONE;
  switch (type)
    {
    case 'Q':
      return on_simple_query (s, &r);
    case 'P':
      return on_parse (s, &r);
    case 'B':
      return on_bind (s, &r);
    case 'D':
      return on_describe (s, &r);
    case 'E':
      return on_execute (s);
    case 'C':
      return on_close (s, &r);
    case 'S':
      return on_sync (s);
    case 'F':
      replication_on_follow_request (s, payload);
      return RUN_DONE;
    case 'H':
      return RUN_DONE;
    case 'X':
      session_close (s);
      return RUN_DONE;
    default:
      session_send_error (s, "08P01", "the message type is unknown");
      return RUN_ERROR;
    }
}

/* Send AuthenticationOk, the parameters, BackendKeyData and
   ReadyForQuery. */
static void
send_startup_answer (struct session *s)
{
  static const char *const parameters[][2] = {
    { "server_version", "15.0 (azurewind stand-in)" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "standard_conforming_strings", "on" },
    { "integer_datetimes", "on" },
  };
  size_t at = wire_begin_message (s, &s->out, 'R');
  wire_append_int32 (s, &s->out, 0);
  wire_end_message (&s->out, at);
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    {
      at = wire_begin_message (s, &s->out, 'S');
      wire_append_text (s, &s->out, parameters[i][0]);
      wire_append_text (s, &s->out, parameters[i][1]);
      wire_end_message (&s->out, at);
    }
  at = wire_begin_message (s, &s->out, 'K');
  wire_append_int32 (s, &s->out, s->fd);
  wire_append_int32 (s, &s->out, 0);
  wire_end_message (&s->out, at);
  send_ready_for_query (s);
}

/* Process the startup message or a request that precedes it.
   @return the number of bytes consumed, 0 if the message cannot be processed
   yet or the session was closed. */
static size_t
process_startup (struct session *s)
{
  if (s->in.used < STARTUP_HEADER_BYTES)
    return 0;
  const char *bytes = wire_data (&s->in);
  uint32_t len = wire_decode_uint32 (bytes);
  uint32_t code = wire_decode_uint32 (bytes + 4);
  if (len < STARTUP_HEADER_BYTES || len > MAX_STARTUP_BYTES
      || code == CANCEL_REQUEST)
    {
      session_close (s);
      return 0;
    }
  if (s->in.used < len)
    return 0;
  /* The user standin_control opens control sessions. */
  s->is_control = memmem (bytes, len, "standin_control", 15) != NULL;
  if (s->server->partitioned && !s->is_control)
    return 0;
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    {
      wire_append (s, &s->out, "N", 1);
      return len;
    }
  int64_t delay = s->server->connect_delay_ms;
  if (delay > 0 && !s->is_control && !s->delay_served)
    {
      s->delay_served = true;
      session_schedule_resume (s, delay);
      return 0;
    }
  s->delay_served = false;
  s->started = true;
  send_startup_answer (s);
  return len;
}

/* @return the length of the next message including its type, 0 if it is
   incomplete; 0 after closing the session if its length is invalid. */
static size_t
complete_message_length (struct session *s)
{
  if (s->in.used < 5)
    return 0;
  uint32_t len = wire_decode_uint32 (wire_data (&s->in) + 1);
  if (len < 4
      || len > (s->is_upstream ? MAX_DATABASE_COPY_BYTES : MAX_MESSAGE_BYTES))
    {
      session_close (s);
      return 0;
    }
  return s->in.used >= (size_t)len + 1 ? (size_t)len + 1 : 0;
}

/* Process the startup message or the next other message.
   @return whether there may be another one to process now. */
static bool
process_next_message (struct session *s)
{
  if (!s->started)
    {
      size_t used = process_startup (s);
      wire_consume (&s->in, used);
      return used > 0;
    }
  size_t used = s->server->partitioned && !s->is_control
                    ? 0
                    : complete_message_length (s);
  if (used == 0)
    return false;
  const char *bytes = wire_data (&s->in);
  enum run_result result
      = dispatch_message (s, bytes[0], (struct bstr){ bytes + 5, used - 5 });
  if (s->closed)
    return false;
  if (result == RUN_BLOCKED)
    {
      if (!s->waiting)
        session_schedule_resume (s, BUSY_RETRY_MS);
      return false;
    }
  if (result == RUN_ERROR)
    s->skip_to_sync = true;
  wire_consume (&s->in, used);
  return true;
}

void
session_process (struct session *s)
{
  s->processing_depth++;
  while (!s->closed && !s->waiting && process_next_message (s))
    ;
  session_flush (s);
  s->processing_depth--;
  if (s->closed && s->processing_depth == 0)
    talloc_free (s);
}

void
session_close (struct session *s)
{
  struct server *server = s->server;
  if (s->closed)
    return;
  s->closed = true;
  if (s->prev != NULL)
    s->prev->next = s->next;
  else
    server->sessions = s->next;
  if (s->next != NULL)
    s->next->prev = s->prev;
  if (server->upstream == s)
    server->upstream = NULL;
  if (server->advisory_lock_owner == s)
    server->advisory_lock_owner = NULL;
  sql_release_statement (s);
  store_disconnect (server->store, s->connection);
  s->connection = NULL;
  sql_release_write_lock (s);
  TALLOC_FREE (s->resume_timer);
  TALLOC_FREE (s->fde);
  close (s->fd);
  s->fd = -1;
  if (s->processing_depth == 0)
    talloc_free (s);
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *data)
{
  (void)ev, (void)fde;
  struct session *s = data;
  char buffer[65536];
  if (flags & TEVENT_FD_WRITE)
    session_flush (s);
  if (!(flags & TEVENT_FD_READ))
    return;
  ssize_t n = recv (s->fd, buffer, sizeof buffer, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    session_close (s);
  else if (n > 0)
    {
      wire_append (s, &s->in, buffer, (size_t)n);
      session_process (s);
    }
}

struct session *
session_create (struct server *server, int fd)
{
  struct session *s = talloc_zero (server, struct session);
  int one = 1;
  s->server = server;
  s->fd = fd;
  s->state = 'I';
  s->next = server->sessions;
  if (s->next != NULL)
    s->next->prev = s;
  server->sessions = s;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  s->fde = tevent_add_fd (server->ev, s, fd, TEVENT_FD_READ, on_socket, s);
  return s;
}
