#include "tests/relay_site.h"

#include "common/clock.h"
#include "standins/site_line.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_TIMEOUT_MS 4000
#define READ_BYTES 65536
#define START_TIMEOUT_MS 15000
#define SHORT_GRACE_MS 450
#define DEFAULT_PROMOTE_MS 200
/* Below the ephemeral ports of the system (32768 and above), so that no
   outgoing connection takes the port of a session daemon that starts later or
   starts again. */
#define FIRST_PORT 10000
#define END_PORT 32000
/* Test runs that are in progress lock the bytes of this file that have the
   numbers of their ports. */
#define PORTS_FILE "/tmp/azurewind-test-ports"

int64_t
sessiond_site_now_ms (void)
{
  return clock_now () / USEC_PER_MSEC;
}

/** Ports that no other test run takes until this is freed. */
struct port_range
{
  int fd; /**< Holds the locks on PORTS_FILE. */
};

static int
release_ports (struct port_range *range)
{
  close (range->fd);
  return 0;
}

/* Lock or unlock the ports for this test run.
   @param type F_WRLCK or F_UNLCK.
   @return false if another run has one of them. */
static bool
lock_ports (int fd, short type, int first, int count)
{
  struct flock lock = {
    .l_type = type, .l_whence = SEEK_SET, .l_start = first, .l_len = count
  };
  return fcntl (fd, F_OFD_SETLK, &lock) == 0;
}

static bool
are_ports_free (int first, int count)
{
  for (int i = 0; i < count; i++)
    {
      struct sockaddr_in at = { .sin_family = AF_INET,
                                .sin_port = htons ((uint16_t)(first + i)),
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int rc = bind (fd, (struct sockaddr *)&at, sizeof at);
      close (fd);
      if (rc != 0)
        return false;
    }
  return true;
}

int
sessiond_site_reserve_ports (void *parent, int count)
{
  int places = (END_PORT - FIRST_PORT) / count;
  int fd = open (PORTS_FILE, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (fd < 0)
    {
      perror (PORTS_FILE);
      return 0;
    }
  struct port_range *range = talloc_zero (parent, struct port_range);
  range->fd = fd;
  talloc_set_destructor (range, release_ports);
  /* The process id selects where the search starts, so that parallel test
     runs rarely try the same ports. */
  for (int k = 0; k < places; k++)
    {
      int first = FIRST_PORT + (getpid () + k) % places * count;
      if (!lock_ports (fd, F_WRLCK, first, count))
        continue;
      if (are_ports_free (first, count))
        return first;
      lock_ports (fd, F_UNLCK, first, count);
    }
  talloc_free (range);
  return 0;
}

int
sessiond_site_port (const struct sessiond_site *s, int i)
{
  return s->first_port + i * SITE_PORTS;
}

static void
http_url (char *url, size_t size, int port)
{
  snprintf (url, size, "http://127.0.0.1:%d/", port);
}

int
sessiond_site_ready (const struct sessiond_site *s, int i)
{
  char url[64];
  http_url (url, sizeof url, sessiond_site_port (s, i) + 1);
  return (int)process_http (NULL, "GET", url, NULL, NULL);
}

char *
sessiond_site_metrics (struct sessiond_site *s, int i)
{
  char url[64];
  char *answer = NULL;
  http_url (url, sizeof url, sessiond_site_port (s, i) + 2);
  process_http (s, "GET", url, NULL, &answer);
  return answer;
}

bool
sessiond_site_control (struct sessiond_site *s, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  long status = process_http (NULL, "POST", s->url, text, NULL);
  free (text);
  return status == 200;
}

bool
sessiond_site_fault (struct sessiond_site *s, const char *database,
                     const char *fault)
{
  return sessiond_site_control (
      s, json_pack ("{s:s, s:s}", "database", database, "fault", fault));
}

bool
sessiond_site_write_raw (struct sessiond_site *s, const char *kind,
                         const char *name, const char *spec)
{
  return sessiond_site_control (s, json_pack ("{s:{s:s, s:s, s:s}}", "raw",
                                              "kind", kind, "name", name,
                                              "spec", spec));
}

json_t *
sessiond_site_observed (struct sessiond_site *s)
{
  char *answer = NULL;
  process_http (s, "GET", s->url, NULL, &answer);
  json_t *json = answer != NULL ? json_loads (answer, 0, NULL) : NULL;
  talloc_free (answer);
  return json;
}

int
sessiond_site_committed (struct sessiond_site *s, const char *id)
{
  json_t *observed = sessiond_site_observed (s), *database, *entry;
  size_t i, k;
  int count = 0;
  json_int_t newest = 0;
  json_array_foreach (json_object_get (observed, "databases"), i, database)
  {
    json_int_t term = json_integer_value (json_object_get (database, "term"));
    if (json_is_true (json_object_get (database, "primary")) && term > newest)
      newest = term;
  }
  json_array_foreach (json_object_get (observed, "databases"), i, database)
  {
    if (!json_is_true (json_object_get (database, "primary"))
        || json_integer_value (json_object_get (database, "term")) < newest)
      continue;
    json_array_foreach (json_object_get (database, "log"), k, entry) count
        += strcmp (json_string_value (entry), id) == 0;
  }
  json_decref (observed);
  return count;
}

const json_t *
sessiond_site_run (const json_t *observed, const char *id)
{
  const json_t *run;
  size_t i;
  json_array_foreach (
      json_object_get (observed, "runs"), i,
      run) if (strcmp (json_string_value (json_object_get (run, "id")), id)
               == 0) return run;
  return NULL;
}

bool
sessiond_site_signed (struct sessiond_site *s, const struct line_answer *a)
{
  json_t *observed = sessiond_site_observed (s);
  const char *signature = json_string_value (
      json_object_get (sessiond_site_run (observed, a->id), "signature"));
  bool same = signature != NULL && strcmp (signature, a->signature) == 0;
  json_decref (observed);
  return same;
}

int
sessiond_site_reads_at (struct sessiond_site *s, const char *database,
                        int duration_ms)
{
  int64_t end = sessiond_site_now_ms () + duration_ms;
  int count = 0;
  size_t i;
  json_t *observed = sessiond_site_observed (s), *run;
  size_t known = json_array_size (json_object_get (observed, "runs"));
  json_decref (observed);
  for (int daemon = 0; sessiond_site_now_ms () < end;
       daemon = (daemon + 1) % s->daemon_count)
    {
      struct line_answer a;
      struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
      if (c != NULL && line_start (c, "browse1", "key-a1", &a))
        line_query (c, &a, "READ item");
      talloc_free (c);
      usleep (5000);
    }
  observed = sessiond_site_observed (s);
  json_t *runs = json_object_get (observed, "runs");
  bool any_ran = json_array_size (runs) > known;
  json_array_foreach (runs, i, run) count
      += i >= known
         && strcmp (json_string_value (json_object_get (run, "database")),
                    database)
                == 0;
  json_decref (observed);
  return any_ran ? count : -1;
}

static json_t *
make_route (const char *host, const char *kind, const char *service,
            int stale_ms)
{
  json_t *route = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b}", "name", host, "host", host,
      "kind", kind, "service", service, "timeout-ms", 1500,
      "target-latency-ms", 200, "priority", 1, "public-access", 0);
  if (stale_ms > 0)
    json_object_set_new (route, "max-staleness-ms", json_integer (stale_ms));
  return route;
}

static json_t *
make_config (const struct sessiond_site_options *o)
{
  json_t *routes = json_array (), *services = json_array ();
  double rate = o->rate > 0 ? o->rate : 10000;
  for (int i = 1; i <= o->services; i++)
    {
      char service[32], host[32];
      snprintf (service, sizeof service, "ledger-%d", i);
      json_array_append_new (services,
                             json_pack ("{s:s, s:i, s:i}", "name", service,
                                        "max-connections", 40, "sync-replicas",
                                        o->sync_replicas));
      snprintf (host, sizeof host, "main%d", i);
      json_array_append_new (routes, make_route (host, "primary", service, 0));
      snprintf (host, sizeof host, "browse%d", i);
      json_array_append_new (
          routes, make_route (host, "bounded_staleness", service, 1500));
      snprintf (host, sizeof host, "own%d", i);
      json_array_append_new (
          routes, make_route (host, "read_your_writes", service, 2500));
    }
  return json_pack (
      "{s:i, s:o, s:o, s:{s:i}, s:[{s:s, s:[s,s], s:i, s:i}, {s:s, s:[s], "
      "s:f, s:f}]}",
      "config-version", 3, "routes", routes, "services", services, "limits",
      "tx-idle-ms", 3000, "tenants", "name", "alpha", "api-keys", "key-a1",
      "key-a2", "rate-per-s", 10000, "burst", 10000, "name", "beta",
      "api-keys", "key-b", "rate-per-s", rate, "burst", rate);
}

bool
sessiond_site_configure (struct sessiond_site *s)
{
  json_t *version = json_object_get (s->config, "config-version");
  json_object_set_new (s->config, "config-version",
                       json_integer (json_integer_value (version) + 3));
  return sessiond_site_control (s, json_pack ("{s:O}", "config", s->config));
}

bool
sessiond_site_start_daemon (struct sessiond_site *s, int i)
{
  int port = sessiond_site_port (s, i);
  int store = s->proxy_ports[i].store != 0 ? s->proxy_ports[i].store
                                           : process_port (s->platform);
  int bus = s->proxy_ports[i].bus != 0 ? s->proxy_ports[i].bus : port + 3;
  char *path = talloc_asprintf (s, "%s/daemon-%d.toml", s->folder, i);
  FILE *file = fopen (path, "w");
  if (file == NULL)
    return false;
  fprintf (file,
           "name = \"vm-%d\"\nfailure_domain = \"zone-%c\"\n"
           "listen = \"127.0.0.1:%d\"\nready_listen = \"127.0.0.1:%d\"\n"
           "metrics_listen = \"127.0.0.1:%d\"\n"
           "bus = \"tcp://127.0.0.1:%d\"\n"
           "bus_advertise = \"tcp://127.0.0.1:%d\"\nstore = \"127.0.0.1:%d\"\n"
           "duties = \"127.0.0.1:%d\"\ngrace_ms = %d\ndrain_ms = 3000\n"
           "capacity = %g\nbootstrap = %s\n%s",
           i, 'a' + i % s->zones, port, port + 1, port + 2, port + 3, bus,
           store, store, s->grace_ms, s->large == 0 || i < s->large ? 1 : 0.25,
           i < s->daemon_count - s->spares && s->daemons[i] == NULL ? "true"
                                                                    : "false",
           s->settings != NULL ? s->settings : "");
  fclose (file);
  TALLOC_FREE (s->daemons[i]);
  s->daemons[i] = process_start (s, "azurewind-sessiond",
                                 (const char *[]){ "--settings", path, NULL });
  talloc_free (path);
  return s->daemons[i] != NULL;
}

bool
sessiond_site_wait (struct sessiond_site *s, int i, int service,
                    int timeout_ms)
{
  int64_t end = sessiond_site_now_ms () + timeout_ms;
  char database[32];
  snprintf (database, sizeof database, "main%d", service);
  while (sessiond_site_now_ms () < end)
    {
      struct line_answer a;
      struct line_caller *c = line_open (s, sessiond_site_port (s, i));
      bool ok = c != NULL && line_start (c, database, "key-a1", &a)
                && line_query (c, &a, "WRITE ready x");
      talloc_free (c);
      if (ok)
        return true;
      usleep (30000);
    }
  return false;
}

static int
remove_folder (struct sessiond_site *s)
{
  for (int i = 0; i < s->daemon_count; i++)
    {
      char *path = talloc_asprintf (NULL, "%s/daemon-%d.toml", s->folder, i);
      unlink (path);
      talloc_free (path);
    }
  rmdir (s->folder);
  json_decref (s->config);
  return 0;
}

struct sessiond_site *
sessiond_site_start (void *parent, const struct sessiond_site_options *o)
{
  struct sessiond_site *s = talloc_zero (parent, struct sessiond_site);
  char services[12], zones[12], lag[12], promote[12],
      folder[] = "/tmp/azurewind-site-XXXXXX";
  snprintf (services, sizeof services, "%d", o->services);
  snprintf (lag, sizeof lag, "%d", o->lag_ms);
  snprintf (promote, sizeof promote, "%d",
            o->promote_ms != 0 ? o->promote_ms : DEFAULT_PROMOTE_MS);
  s->daemon_count = o->daemons + o->spares;
  s->spares = o->spares;
  s->zones = o->zones > 0 ? o->zones : 1;
  snprintf (zones, sizeof zones, "%d", s->zones);
  s->large = o->large;
  s->settings = o->settings != NULL ? talloc_strdup (s, o->settings) : NULL;
  s->grace_ms = o->grace_ms > 0 ? o->grace_ms : SHORT_GRACE_MS;
  s->first_port
      = sessiond_site_reserve_ports (s, s->daemon_count * SITE_PORTS);
  s->platform = process_start (
      s, "standin-site",
      (const char *[]){ "--services", services, "--zones", zones, "--lag-ms",
                        lag, "--promote-ms", promote, NULL });
  if (s->platform == NULL || mkdtemp (folder) == NULL || s->first_port == 0)
    goto fail;
  s->folder = talloc_strdup (s, folder);
  s->url = talloc_asprintf (s, "http://127.0.0.1:%d/control",
                            process_port (s->platform));
  s->config = make_config (o);
  talloc_set_destructor (s, remove_folder);
  if (!sessiond_site_configure (s)
      || (o->prepare != NULL && !o->prepare (s, o->data)))
    goto fail;
  for (int i = 0; i < o->daemons; i++)
    if (!sessiond_site_start_daemon (s, i))
      goto fail;
  for (int i = 0; i < o->daemons; i++)
    for (int k = 1; k <= o->services; k++)
      if (!sessiond_site_wait (s, i, k, START_TIMEOUT_MS))
        {
          printf ("vm-%d does not serve service %d\n", i, k);
          goto fail;
        }
  return s;
fail:
  talloc_free (s);
  return NULL;
}

/* Callers that use the line protocol. */

static int
caller_destructor (struct line_caller *c)
{
  close (c->fd);
  return 0;
}

struct line_caller *
line_open (void *parent, int port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close (fd);
      return NULL;
    }
  struct line_caller *c = talloc_zero (parent, struct line_caller);
  c->fd = fd;
  c->row_memory = talloc_new (c);
  talloc_set_destructor (c, caller_destructor);
  return c;
}

/* Read the next line into memory of the caller, without its CR LF.  It is
   searched byte by byte, not as the session daemon does it.
   @return whether a line arrived in time. */
static bool
read_line (struct line_caller *c, struct bstr *line, int timeout_ms)
{
  int64_t end = sessiond_site_now_ms () + timeout_ms;
  size_t at = 1;
  for (;;)
    {
      while (at < c->used && (c->in[at - 1] != '\r' || c->in[at] != '\n'))
        at++;
      if (at < c->used)
        {
          *line = bstr_copy (c->row_memory, (struct bstr){ c->in, at - 1 });
          c->used -= at + 1;
          memmove (c->in, c->in + at + 1, c->used);
          return true;
        }
      int64_t left = end - sessiond_site_now_ms ();
      struct pollfd in = { .fd = c->fd, .events = POLLIN };
      if (left <= 0 || poll (&in, 1, (int)left) <= 0)
        return false;
      c->in = talloc_realloc (c, c->in, char, c->used + READ_BYTES);
      ssize_t n = recv (c->fd, c->in + c->used, READ_BYTES, 0);
      if (n <= 0)
        return false;
      c->used += (size_t)n;
    }
}

/* Copy a text as far as it fits, for tests that expect a short one. */
static void
copy_text (char *to, size_t size, struct bstr text)
{
  size_t len = text.len < size ? text.len : size - 1;
  memcpy (to, text.start, len);
  to[len] = '\0';
}

/* Read lines up to READY. */
static void
read_answer (struct line_caller *c, struct line_answer *a)
{
  struct bstr line;
  TALLOC_FREE (c->row_memory);
  c->row_memory = talloc_new (c);
  c->rows = NULL;
  c->row_count = 0;
  while (read_line (c, &line, ANSWER_TIMEOUT_MS))
    {
      if (bstr_starts_with (line, "ROW "))
        {
          if (c->row_count == 0)
            copy_text (a->row, sizeof a->row, bstr_skip (line, 4));
          c->rows = talloc_realloc (c->row_memory, c->rows, struct bstr,
                                    (size_t)c->row_count + 1);
          c->rows[c->row_count++] = bstr_skip (line, 4);
        }
      else if (bstr_starts_with (line, "COMPLETE "))
        copy_text (a->signature, sizeof a->signature, bstr_skip (line, 9));
      else if (bstr_starts_with (line, "ERROR "))
        sscanf (line.start + 6, "%15s %190[^\n]", a->code, a->text);
      else if (bstr_starts_with (line, "READY ") && line.len > 6)
        {
          a->state = line.start[6];
          return;
        }
    }
}

bool
line_send_bytes (struct line_caller *c, struct bstr bytes)
{
  while (bytes.len > 0)
    {
      ssize_t n = send (c->fd, bytes.start, bytes.len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes = bstr_skip (bytes, (size_t)n);
    }
  return true;
}

bool
line_send (struct line_caller *c, const char *lines)
{
  return line_send_bytes (c, bstr_from (lines));
}

bool
line_has_more (struct line_caller *c, int timeout_ms)
{
  struct pollfd in = { .fd = c->fd, .events = POLLIN };
  return c->used > 0 || poll (&in, 1, timeout_ms) > 0;
}

int
line_count_answers (struct line_caller *c, int expected)
{
  int answered = 0;
  while (answered < expected)
    {
      struct line_answer a = { .state = 0 };
      read_answer (c, &a);
      if (a.state == 0)
        break;
      answered++;
    }
  return answered;
}

bool
line_start (struct line_caller *c, const char *database, const char *key,
            struct line_answer *answer)
{
  char text[200];
  memset (answer, 0, sizeof *answer);
  snprintf (text, sizeof text, "START %s %s\r\n", database, key);
  if (line_send (c, text))
    read_answer (c, answer);
  return answer->state == 'I';
}

bool
line_query_bytes (struct line_caller *c, struct line_answer *answer,
                  struct bstr statement)
{
  static unsigned number;
  char start[40];
  memset (answer, 0, sizeof *answer);
  snprintf (answer->id, sizeof answer->id, "%08x%08x", (unsigned)getpid (),
            ++number);
  snprintf (start, sizeof start, "QUERY %s ", answer->id);
  char *line = talloc_array (NULL, char, strlen (start) + statement.len + 2);
  size_t len = strlen (start);
  memcpy (line, start, len);
  memcpy (line + len, statement.start, statement.len);
  len += statement.len;
  line[len++] = '\r';
  line[len++] = '\n';
  if (line_send_bytes (c, (struct bstr){ line, len }))
    read_answer (c, answer);
  talloc_free (line);
  return answer->state != 0 && answer->code[0] == '\0';
}

bool
line_query (struct line_caller *c, struct line_answer *answer,
            const char *format, ...)
{
  char statement[400];
  va_list args;
  va_start (args, format);
  vsnprintf (statement, sizeof statement, format, args);
  va_end (args);
  return line_query_bytes (c, answer, bstr_from (statement));
}

bool
line_rows_match (const struct line_caller *c, const json_t *run)
{
  const json_t *rows = json_object_get (run, "rows");
  bool match = run != NULL && (int)json_array_size (rows) == c->row_count;
  for (int i = 0; match && i < c->row_count; i++)
    {
      char *row = site_line_escape (NULL, c->rows[i]);
      match
          = strcmp (json_string_value (json_array_get (rows, (size_t)i)), row)
            == 0;
      talloc_free (row);
    }
  return match;
}

bool
line_is_closed (struct line_caller *c, int timeout_ms)
{
  struct pollfd in = { .fd = c->fd, .events = POLLIN };
  char byte;
  return poll (&in, 1, timeout_ms) == 1
         && recv (c->fd, &byte, 1, MSG_PEEK) <= 0;
}
