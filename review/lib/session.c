#include "review/lib/session.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 4000

static FILE *record_file;
static int64_t record_began;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_uint_fast64_t last_id;

int64_t
now_ms (void)
{
  return clock_now () / USEC_PER_MSEC;
}

bool
record_open (const char *path)
{
  record_began = now_ms ();
  record_file = fopen (path, "w");
  return record_file != NULL;
}

void
record (const char *format, ...)
{
  va_list args;
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double)(now_ms () - record_began) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

uint64_t
new_id (void)
{
  return ((uint64_t)getpid () << 32) + atomic_fetch_add (&last_id, 1) + 1;
}

bool
is_promise (const char *code)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
  for (size_t i = 0; i < sizeof codes / sizeof codes[0]; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

/* Read one line without its end.  @return whether there was one in time. */
static bool
read_line (struct client *c, char *line, size_t size, int64_t end)
{
  for (;;)
    {
      char *stop = memchr (c->in, '\n', c->used);
      if (stop != NULL)
        {
          size_t len = (size_t)(stop - c->in);
          snprintf (line, size, "%.*s", (int)(len > 0 ? len - 1 : 0), c->in);
          c->used -= len + 1;
          memmove (c->in, stop + 1, c->used);
          return true;
        }
      int64_t left = end - now_ms ();
      struct pollfd in = { .fd = c->fd, .events = POLLIN };
      if (left <= 0 || c->used == sizeof c->in
          || poll (&in, 1, (int)left) <= 0)
        return false;
      ssize_t n = recv (c->fd, c->in + c->used, sizeof c->in - c->used, 0);
      if (n <= 0)
        return false;
      c->used += (size_t)n;
    }
}

static void
read_reply (struct client *c, struct reply *r)
{
  char line[600];
  int64_t end = now_ms () + ANSWER_TIMEOUT_MS;
  memset (r, 0, sizeof *r);
  while (read_line (c, line, sizeof line, end))
    {
      if (strncmp (line, "ROW ", 4) == 0)
        snprintf (r->row, sizeof r->row, "%.79s", line + 4);
      else if (strncmp (line, "COMPLETE ", 9) == 0)
        snprintf (r->signature, sizeof r->signature, "%.79s", line + 9);
      else if (strncmp (line, "ERROR ", 6) == 0)
        sscanf (line + 6, "%15s %150[^\n]", r->code, r->text);
      else if (strncmp (line, "READY ", 6) == 0)
        {
          r->state = line[6];
          return;
        }
    }
}

static bool
send_line (struct client *c, const char *line)
{
  return send (c->fd, line, strlen (line), MSG_NOSIGNAL)
         == (ssize_t)strlen (line);
}

bool
client_start (struct client *c, const char *name, int port,
              const char *database, const char *key)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  struct reply r = { .state = 0 };
  char line[200];
  c->used = 0;
  snprintf (c->name, sizeof c->name, "%s", name);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  snprintf (line, sizeof line, "START %s %s\r\n", database, key);
  if (connect (c->fd, (struct sockaddr *)&to, sizeof to) == 0
      && send_line (c, line))
    read_reply (c, &r);
  if (r.state == 'I')
    return true;
  client_close (c);
  return false;
}

bool
client_query (struct client *c, uint64_t id, const char *statement,
              struct reply *r)
{
  char line[600];
  int64_t sent_at = now_ms ();
  memset (r, 0, sizeof *r);
  snprintf (line, sizeof line, "QUERY %016llx %s\r\n", (unsigned long long)id,
            statement);
  if (send_line (c, line))
    read_reply (c, r);
  record ("%s: %016llx %s -> %s%s%s state=%c after %lld ms", c->name,
          (unsigned long long)id, statement,
          r->state == 0        ? "no answer"
          : r->code[0] != '\0' ? r->code
                               : "ok",
          r->text[0] != '\0' ? ": " : "", r->text,
          r->state != 0 ? r->state : '-', (long long)(now_ms () - sent_at));
  return r->state != 0 && r->code[0] == '\0';
}

void
client_close (struct client *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
}
