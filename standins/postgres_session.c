#include "standins/postgres_server.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_MESSAGE_BYTES (16 * 1024 * 1024)
/* Of a message from the primary: a copy of the whole database. */
#define MAX_COPY_BYTES (1024 * 1024 * 1024)
#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define CANCEL_REQUEST 80877102
#define MAX_STARTUP_BYTES 10000
#define STARTUP_HEADER_BYTES 8
/* sqlite reports a lock that is not the stand-in's own only in rare cases,
   such as the recovery of its log. */
#define BUSY_RETRY_MS 1

struct timeval
server_after_ms (int64_t ms)
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
session_send_empty (struct session *s, char type)
{
  wire_end (&s->out, wire_begin (s, &s->out, type));
}

static void
send_ready (struct session *s)
{
  size_t at = wire_begin (s, &s->out, 'Z');
  wire_append (s, &s->out, &s->state, 1);
  wire_end (&s->out, at);
}

void
session_send_error (struct session *s, const char *sqlstate, const char *text)
{
  size_t at = wire_begin (s, &s->out, 'E');
  wire_append (s, &s->out, "SERROR", 7);
  wire_append (s, &s->out, "VERROR", 7);
  wire_append (s, &s->out, "C", 1);
  wire_text (s, &s->out, sqlstate);
  wire_append (s, &s->out, "M", 1);
  wire_text (s, &s->out, text);
  wire_append (s, &s->out, "", 1);
  wire_end (&s->out, at);
  if (s->state == 'T')
    s->state = 'E';
}

void
session_send_complete (struct session *s, const char *tag)
{
  size_t at = wire_begin (s, &s->out, 'C');
  wire_text (s, &s->out, tag);
  wire_end (&s->out, at);
}

void
session_send_columns (struct session *s, const char *const *names,
                      const int *oids, int count)
{
  size_t at = wire_begin (s, &s->out, 'T');
  wire_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      wire_text (s, &s->out, names[i]);
      wire_int32 (s, &s->out, 0);
      wire_int16 (s, &s->out, 0);
      wire_int32 (s, &s->out, oids[i]);
      wire_int16 (s, &s->out, oids[i] == OID_INT8 ? 8 : -1);
      wire_int32 (s, &s->out, -1);
      wire_int16 (s, &s->out, 0);
    }
  wire_end (&s->out, at);
}

void
session_send_row (struct session *s, const char *const *values, int count)
{
  size_t at = wire_begin (s, &s->out, 'D');
  wire_int16 (s, &s->out, count);
  for (int i = 0; i < count; i++)
    {
      int32_t len = values[i] != NULL ? (int32_t)strlen (values[i]) : -1;
      wire_int32 (s, &s->out, len);
      if (len > 0)
        wire_append (s, &s->out, values[i], (size_t)len);
    }
  wire_end (&s->out, at);
}

static void
on_resume (struct tevent_context *ev, struct tevent_timer *te,
           struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct session *s = data;
  s->resume = NULL;
  s->waiting = false;
  session_process (s);
}

void
session_resume (struct session *s, int64_t delay_ms)
{
  s->waiting = true;
  TALLOC_FREE (s->resume);
  s->resume = tevent_add_timer (s->server->ev, s,
                                delay_ms > 0 ? server_after_ms (delay_ms)
                                             : tevent_timeval_zero (),
                                on_resume, s);
}

static void
clear_params (struct session *s)
{
  sql_finish (s);
  for (int i = 0; i < s->param_count; i++)
    TALLOC_FREE (s->params[i]);
  s->param_count = 0;
}

/* Serve the injected delay once per statement. */
static bool
must_delay (struct session *s)
{
  int64_t delay = s->server->statement_delay_ms;
  if (delay <= 0 || s->control || s->delayed)
    return false;
  s->delayed = true;
  session_resume (s, delay);
  return true;
}

/* Hold the session back for the network's round trip, once per message that
   a client waits for.  Other sessions go on. */
static bool
must_travel (struct session *s)
{
  int64_t delay = s->server->round_trip_ms;
  if (delay <= 0 || s->control || s->travelled)
    return false;
  s->travelled = true;
  session_resume (s, delay);
  return true;
}

static enum run_result
on_simple_query (struct session *s, struct wire_reader *r)
{
  clear_params (s);
  sql_set (s, wire_get_text (r));
  if (must_travel (s) || must_delay (s))
    return RUN_BLOCKED;
  enum run_result result = sql_prepare (s);
  if (result == RUN_DONE)
    result = sql_run (s, true);
  if (result == RUN_BLOCKED)
    return result;
  s->delayed = false;
  s->travelled = false;
  send_ready (s);
  return RUN_DONE;
}

static enum run_result
on_sync (struct session *s)
{
  if (must_travel (s))
    return RUN_BLOCKED;
  s->travelled = false;
  s->skip_to_sync = false;
  send_ready (s);
  return RUN_DONE;
}

static struct named_sql **
find_named (struct session *s, const char *name)
{
  struct named_sql **at = &s->named;
  while (*at != NULL && strcmp ((*at)->name, name) != 0)
    at = &(*at)->next;
  return at;
}

static void
remove_named (struct session *s, const char *name)
{
  struct named_sql **at = find_named (s, name);
  struct named_sql *found = *at;
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
    sql_set (s, text);
  else
    {
      struct named_sql *named = talloc_zero (s, struct named_sql);
      remove_named (s, name);
      named->name = talloc_strdup (named, name);
      named->text = talloc_strdup (named, text);
      named->next = s->named;
      s->named = named;
    }
  session_send_empty (s, '1');
  return RUN_DONE;
}

/* Make a named statement the current one. */
static enum run_result
use_named (struct session *s, const char *name)
{
  if (*name == '\0')
    return RUN_DONE;
  const struct named_sql *found = *find_named (s, name);
  if (found == NULL)
    {
      session_send_error (s, "26000", "the prepared statement is unknown");
      return RUN_ERROR;
    }
  sql_set (s, found->text);
  return RUN_DONE;
}

static enum run_result
on_bind (struct session *s, struct wire_reader *r)
{
  wire_get_text (r);
  const char *name = wire_get_text (r);
  int formats = wire_get16 (r);
  for (int i = 0; i < formats; i++)
    if (wire_get16 (r) != 0)
      {
        session_send_error (s, "0A000", "binary format is not supported");
        return RUN_ERROR;
      }
  int count = wire_get16 (r);
  clear_params (s);
  if (count > MAX_PARAMETERS)
    {
      session_send_error (s, "54023", "too many parameters");
      return RUN_ERROR;
    }
  for (int i = 0; i < count; i++)
    {
      int32_t len = wire_get32 (r);
      if (len >= 0)
        s->params[i] = bstr_to_text (s, wire_get_bytes (r, (size_t)len));
      s->param_count = i + 1;
    }
  if (use_named (s, name) != RUN_DONE || sql_prepare (s) != RUN_DONE)
    return RUN_ERROR;
  session_send_empty (s, '2');
  return RUN_DONE;
}

static enum run_result
on_describe (struct session *s, struct wire_reader *r)
{
  struct bstr target = wire_get_bytes (r, 1);
  if (!r->failed && target.start[0] == 'S')
    {
      if (use_named (s, wire_get_text (r)) != RUN_DONE
          || sql_prepare (s) != RUN_DONE)
        return RUN_ERROR;
      int count = s->stmt != NULL ? sqlite3_bind_parameter_count (s->stmt) : 0;
      size_t at = wire_begin (s, &s->out, 't');
      wire_int16 (s, &s->out, count);
      for (int i = 0; i < count; i++)
        wire_int32 (s, &s->out, OID_TEXT);
      wire_end (&s->out, at);
    }
  sql_describe (s);
  return RUN_DONE;
}

static enum run_result
on_execute (struct session *s)
{
  if (must_delay (s))
    return RUN_BLOCKED;
  enum run_result result = sql_run (s, false);
  if (result != RUN_BLOCKED)
    s->delayed = false;
  return result;
}

static enum run_result
on_close (struct session *s, struct wire_reader *r)
{
  struct bstr target = wire_get_bytes (r, 1);
  if (!r->failed && target.start[0] == 'S')
    remove_named (s, wire_get_text (r));
  session_send_empty (s, '3');
  return RUN_DONE;
}

static enum run_result
dispatch (struct session *s, char type, struct bstr payload)
{
  struct wire_reader r = { payload, false };
  if (s->is_upstream)
    {
      replication_on_data (s, type, payload);
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
      replication_on_follower (s, payload);
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

static void
send_greeting (struct session *s)
{
  static const char *const parameters[][2] = {
    { "server_version", "15.0 (azurewind stand-in)" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "standard_conforming_strings", "on" },
    { "integer_datetimes", "on" },
  };
  size_t at = wire_begin (s, &s->out, 'R');
  wire_int32 (s, &s->out, 0);
  wire_end (&s->out, at);
  for (size_t i = 0; i < sizeof parameters / sizeof parameters[0]; i++)
    {
      at = wire_begin (s, &s->out, 'S');
      wire_text (s, &s->out, parameters[i][0]);
      wire_text (s, &s->out, parameters[i][1]);
      wire_end (&s->out, at);
    }
  at = wire_begin (s, &s->out, 'K');
  wire_int32 (s, &s->out, s->fd);
  wire_int32 (s, &s->out, 0);
  wire_end (&s->out, at);
  send_ready (s);
}

/* @return bytes used, 0 if more input or time is needed. */
static size_t
process_startup (struct session *s)
{
  if (s->in.used < STARTUP_HEADER_BYTES)
    return 0;
  const char *bytes = wire_data (&s->in);
  uint32_t len = wire_read32 (bytes);
  uint32_t code = wire_read32 (bytes + 4);
  if (len < STARTUP_HEADER_BYTES || len > MAX_STARTUP_BYTES
      || code == CANCEL_REQUEST)
    {
      session_close (s);
      return 0;
    }
  if (s->in.used < len)
    return 0;
  s->control = memmem (bytes, len, "standin_control", 15) != NULL;
  if (s->server->cut && !s->control)
    return 0;
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    {
      wire_append (s, &s->out, "N", 1);
      return len;
    }
  int64_t delay = s->server->connect_delay_ms;
  if (delay > 0 && !s->control && !s->delayed)
    {
      s->delayed = true;
      session_resume (s, delay);
      return 0;
    }
  s->delayed = false;
  s->started = true;
  send_greeting (s);
  return len;
}

/* @return length of the next message with its type, 0 if it is not
   complete. */
static size_t
next_message (struct session *s)
{
  if (s->in.used < 5)
    return 0;
  uint32_t len = wire_read32 (wire_data (&s->in) + 1);
  if (len < 4 || len > (s->is_upstream ? MAX_COPY_BYTES : MAX_MESSAGE_BYTES))
    {
      session_close (s);
      return 0;
    }
  return s->in.used >= (size_t)len + 1 ? (size_t)len + 1 : 0;
}

/* @return whether there may be more to process now. */
static bool
process_one (struct session *s)
{
  if (!s->started)
    {
      size_t used = process_startup (s);
      wire_consume (&s->in, used);
      return used > 0;
    }
  size_t used = s->server->cut && !s->control ? 0 : next_message (s);
  if (used == 0)
    return false;
  const char *bytes = wire_data (&s->in);
  enum run_result result
      = dispatch (s, bytes[0], (struct bstr){ bytes + 5, used - 5 });
  if (s->closed)
    return false;
  if (result == RUN_BLOCKED)
    {
      if (!s->waiting)
        session_resume (s, BUSY_RETRY_MS);
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
  s->busy++;
  while (!s->closed && !s->waiting && process_one (s))
    ;
  session_flush (s);
  s->busy--;
  if (s->closed && s->busy == 0)
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
  if (server->lock_owner == s)
    server->lock_owner = NULL;
  sql_finish (s);
  store_disconnect (server->store, s->connection);
  s->connection = NULL;
  sql_release_writer (s);
  TALLOC_FREE (s->resume);
  TALLOC_FREE (s->fde);
  close (s->fd);
  s->fd = -1;
  if (s->busy == 0)
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
