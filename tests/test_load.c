#include "tests/process.h"
#include "tests/tests.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <libpq-fe.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define DAEMONS 2
/* Bookings that can be stored. */
#define MAX_IDS 10000
/* Rows that the verification of azurewind-load reads at once. */
#define PAGE_ROWS 500

/** Faults that the daemons inject. */
enum fault
{
  FAULT_STALE_READ,
  FAULT_FORGOTTEN_WRITE,
  FAULT_FALSE_NOT_RUN,
  FAULT_LOST_ANSWER,
  FAULT_RATE_LIMIT,
  FAULT_COUNT
};

/** Daemons that share ids of bookings in memory.  A fault is injected into
 * every n-th request that it applies to; 0: never. */
struct fake_cell
{
  int stale_read_every;      /**< A session read misses the row. */
  int forgotten_write_every; /**< An acknowledged write is not stored. */
  int false_not_run_every;   /**< A write is stored but answers not_run. */
  /** A write is stored, but its connection is closed without an answer. */
  int lost_answer_every;
  int rate_limit_every;      /**< A request is refused as rate_limited. */
  bool reads_at_primary;     /**< The primary serves the reads. */
  int injected[FAULT_COUNT]; /**< Number of faults of each kind. */
  int seen[FAULT_COUNT]; /**< Requests that each enabled fault applies to. */
  struct MHD_Daemon *daemons[DAEMONS];
  int daemon_requests[DAEMONS]; /**< Requests to each daemon. */
  /** Session reads whose token does not name the last write of the session. */
  int wrong_token_count;
  /** Requests with a wrong mode or idempotency key. */
  int wrong_key_count;
  char *ids[MAX_IDS]; /**< Ids of the stored bookings. */
  int id_count;
};

/* Protects the struct fake_cell: each daemon runs a thread of its own. */
static pthread_mutex_t fake_cell_lock = PTHREAD_MUTEX_INITIALIZER;

/* Counts a request that @p fault applies to, unless @p every is 0.
   @return whether to inject the fault into it. */
static bool
inject_fault (struct fake_cell *f, int fault, int every)
{
  if (every == 0 || ++f->seen[fault] % every != 0)
    return false;
  f->injected[fault]++;
  return true;
}

static bool
is_stored (const struct fake_cell *f, const char *id)
{
  for (int i = 0; i < f->id_count; i++)
    if (strcmp (f->ids[i], id) == 0)
      return true;
  return false;
}

static int
compare_texts (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* @return at most @p limit rows with the ids between two others, in order. */
static json_t *
select_ids (struct fake_cell *f, const char *after, const char *before,
            int limit)
{
  json_t *rows = json_array ();
  qsort (f->ids, (size_t)f->id_count, sizeof f->ids[0], compare_texts);
  for (int i = 0; i < f->id_count && limit > 0; i++)
    if (strcmp (f->ids[i], after) > 0 && strcmp (f->ids[i], before) < 0)
      {
        json_array_append_new (rows, json_pack ("[s]", f->ids[i]));
        limit--;
      }
  return rows;
}

static json_t *
render_refusal (const char *outcome, const char *code)
{
  return json_pack ("{s:s, s:s, s:i}", "outcome", outcome, "code", code,
                    "retry_after_ms", 10);
}

/* Runs one statement of the query call.
   @return the answer; NULL: the connection is to be closed. */
static json_t *
answer_query (struct fake_cell *f, const json_t *body, const char *token)
{
  const json_t *statement
      = json_array_get (json_object_get (body, "statements"), 0);
  const json_t *params = json_object_get (statement, "params");
  const char *sql = json_string_value (json_object_get (statement, "sql"));
  const char *key
      = json_string_value (json_object_get (body, "idempotency_key"));
  const char *mode = json_string_value (json_object_get (body, "mode"));
  const char *id = json_string_value (json_array_get (params, 0));
  bool insert = strncmp (sql, "INSERT", 6) == 0;
  json_t *rows = json_array ();
  if (strstr (sql, "id < $2") != NULL)
    {
      json_decref (rows);
      f->wrong_key_count += strcmp (mode, "write") != 0 || key != NULL;
      rows = select_ids (f, id, json_string_value (json_array_get (params, 1)),
                         PAGE_ROWS);
    }
  else if (inject_fault (f, FAULT_RATE_LIMIT, f->rate_limit_every))
    {
      json_decref (rows);
      return render_refusal ("not_run", "rate_limited");
    }
  else if (insert)
    {
      f->wrong_key_count += strcmp (mode, "write") != 0 || key == NULL
                            || strcmp (key, id) != 0 || is_stored (f, id);
      if (!inject_fault (f, FAULT_FORGOTTEN_WRITE, f->forgotten_write_every)
          && f->id_count < MAX_IDS)
        f->ids[f->id_count++] = strdup (id);
      if (inject_fault (f, FAULT_FALSE_NOT_RUN, f->false_not_run_every)
          || inject_fault (f, FAULT_LOST_ANSWER, f->lost_answer_every))
        {
          json_decref (rows);
          return f->false_not_run_every != 0
                     ? render_refusal ("not_run", "overloaded")
                     : NULL;
        }
    }
  else if (strstr (sql, "id = $1") != NULL)
    {
      /* The session token is the id of the last write of the session. */
      f->wrong_token_count += token == NULL || strcmp (token, id) != 0;
      if (is_stored (f, id)
          && !inject_fault (f, FAULT_STALE_READ, f->stale_read_every))
        json_array_append_new (rows, json_pack ("[s, s]", id, "booked"));
    }
  json_t *answer
      = json_pack ("{s:s, s:[{s:o, s:i}], s:s}", "outcome", "ran", "results",
                   "rows", rows, "affected", insert, "served_by",
                   insert || f->reads_at_primary ? "primary" : "replica");
  if (insert)
    json_object_set_new (answer, "session", json_string (id));
  return answer;
}

/* Collects the body of a request, then answers it under fake_cell_lock. */
static enum MHD_Result
on_fake_request (void *data, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *version,
                 const char *upload, size_t *upload_size, void **request)
{
  (void)url, (void)method, (void)version;
  struct fake_cell *f = data;
  char **body = (char **)request;
  if (*body == NULL)
    {
      *body = talloc_strdup (NULL, "");
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      *body = talloc_strndup_append (*body, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  pthread_mutex_lock (&fake_cell_lock);
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_DAEMON);
  for (int i = 0; i < DAEMONS; i++)
    f->daemon_requests[i] += info->daemon == f->daemons[i];
  json_t *json = json_loads (*body, 0, NULL);
  json_t *answer
      = answer_query (f, json,
                      MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                   "Azurewind-Session"));
  pthread_mutex_unlock (&fake_cell_lock);
  enum MHD_Result result = MHD_NO;
  if (answer != NULL)
    {
      char *text = json_dumps (answer, JSON_COMPACT);
      struct MHD_Response *response = MHD_create_response_from_buffer (
          strlen (text), text, MHD_RESPMEM_MUST_FREE);
      bool ran = strstr (text, "\"ran\"") != NULL;
      result = MHD_queue_response (connection, ran ? 200 : 429, response);
      MHD_destroy_response (response);
    }
  json_decref (answer);
  json_decref (json);
  return result;
}

static void
on_fake_completed (void *data, struct MHD_Connection *connection,
                   void **request, enum MHD_RequestTerminationCode code)
{
  (void)data, (void)connection, (void)code;
  talloc_free (*request);
  *request = NULL;
}

/* @return the port. */
static int
start_fake_daemon (struct fake_cell *f, int index)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  f->daemons[index] = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_fake_request, f,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
      on_fake_completed, f, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->daemons[index]);
  return MHD_get_daemon_info (f->daemons[index], MHD_DAEMON_INFO_BIND_PORT)
      ->port;
}

/* Runs azurewind-load against the fake daemons.
   @return its report; its exit status is stored in @p code. */
static json_t *
run_load (struct fake_cell *f, int *code)
{
  void *scratch = talloc_new (NULL);
  char *urls[DAEMONS];
  for (int i = 0; i < DAEMONS; i++)
    urls[i] = talloc_asprintf (scratch, "http://127.0.0.1:%d",
                               start_fake_daemon (f, i));
  const char *args[]
      = { "--url",          urls[0],
          "--url",          urls[1],
          "--organisation", "name=a,key=K1,rate=200,mix=40/40/20",
          "--organisation", "name=b,key=K2,rate=100,mix=40/40/20,factor=2",
          "--seconds",      "2",
          "--sessions",     "10",
          "--json",         NULL };
  struct process *p = process_run (scratch, "azurewind-load", args);
  *code = process_wait (p, 20000);
  char *text = bstr_to_text (scratch, process_output (p));
  json_t *report = json_loads (text, 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (report);
  for (int i = 0; i < DAEMONS; i++)
    MHD_stop_daemon (f->daemons[i]);
  for (int i = 0; i < f->id_count; i++)
    free (f->ids[i]);
  talloc_free (scratch);
  return report;
}

/* @return a number of the object @p part of the total, or of the total itself
   if it has no such object. */
static double
total_value (const json_t *report, const char *part, const char *name)
{
  const json_t *object
      = json_object_get (json_object_get (report, "total"), part);
  if (object == NULL)
    object = json_object_get (report, "total");
  return json_number_value (json_object_get (object, name));
}

/* Guards against requests that do not follow the query interface, and a
   report whose numbers do not match the requests.  Organisation b offers twice
   its rate, which the daemons do not limit. */
static void
load_reports_measures (void)
{
  struct fake_cell f = { 0 };
  int code;
  json_t *report = run_load (&f, &code);
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT (f.wrong_token_count == 0 && f.wrong_key_count == 0);
  CU_ASSERT (f.daemon_requests[0] > 300 && f.daemon_requests[1] > 300);
  double offered = total_value (report, "", "offered");
  CU_ASSERT (offered > 680 && offered < 920);
  CU_ASSERT_EQUAL (total_value (report, "", "ran"), offered);
  CU_ASSERT_EQUAL (total_value (report, "", "replica_read_share"), 1);
  CU_ASSERT (total_value (report, "", "gap_s") > 0
             && total_value (report, "", "gap_s") < 0.5);
  CU_ASSERT (json_is_true (json_object_get (report, "verified")));
  CU_ASSERT_EQUAL (
      total_value (report, "verification", "acknowledged_missing"), 0);
  const json_t *b
      = json_array_get (json_object_get (report, "organisations"), 1);
  double share = json_number_value (json_object_get (b, "goodput_share"));
  CU_ASSERT (share > 1.7 && share < 2.3);
  json_decref (report);
}

/* Guards against a report without the session reads that missed their own
   write. */
static void
load_finds_stale_reads (void)
{
  struct fake_cell f = { .stale_read_every = 10, .reads_at_primary = true };
  int code;
  json_t *report = run_load (&f, &code);
  CU_ASSERT_EQUAL (code, 2);
  CU_ASSERT (f.injected[FAULT_STALE_READ] > 5);
  CU_ASSERT_EQUAL (total_value (report, "", "read_your_writes_violations"),
                   f.injected[FAULT_STALE_READ]);
  CU_ASSERT_EQUAL (total_value (report, "", "replica_read_share"), 0);
  json_decref (report);
}

/* Guards against a verification that misses acknowledged writes which were
   lost. */
static void
load_finds_lost_writes (void)
{
  struct fake_cell f = { .forgotten_write_every = 10 };
  int code;
  json_t *report = run_load (&f, &code);
  CU_ASSERT_EQUAL (code, 2);
  CU_ASSERT (f.injected[FAULT_FORGOTTEN_WRITE] > 5);
  CU_ASSERT_EQUAL (
      total_value (report, "verification", "acknowledged_missing"),
      f.injected[FAULT_FORGOTTEN_WRITE]);
  json_decref (report);
}

/* Guards against a verification that misses writes which ran although their
   answer was not_run. */
static void
load_finds_false_not_run (void)
{
  struct fake_cell f = { .false_not_run_every = 10 };
  int code;
  json_t *report = run_load (&f, &code);
  CU_ASSERT_EQUAL (code, 2);
  CU_ASSERT (f.injected[FAULT_FALSE_NOT_RUN] > 5);
  CU_ASSERT_EQUAL (total_value (report, "verification", "not_run_present"),
                   f.injected[FAULT_FALSE_NOT_RUN]);
  CU_ASSERT_EQUAL (total_value (report, "codes", "overloaded"),
                   f.injected[FAULT_FALSE_NOT_RUN]);
  json_decref (report);
}

/* Guards against a write whose answer was lost that is sent again or counted
   as refused. */
static void
load_counts_unknown_outcomes (void)
{
  struct fake_cell f = { .lost_answer_every = 10 };
  int code;
  json_t *report = run_load (&f, &code);
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT (f.injected[FAULT_LOST_ANSWER] > 5 && f.wrong_key_count == 0);
  CU_ASSERT_EQUAL (total_value (report, "", "unknown"),
                   f.injected[FAULT_LOST_ANSWER]);
  CU_ASSERT_EQUAL (total_value (report, "codes", "connection_lost"),
                   f.injected[FAULT_LOST_ANSWER]);
  CU_ASSERT_EQUAL (total_value (report, "verification", "unknown_present"),
                   f.injected[FAULT_LOST_ANSWER]);
  json_decref (report);
}

/* Guards against a report that counts refusals of requests above the
   organisation's rate as wrongful: organisation b offers twice its rate. */
static void
load_counts_wrongful_refusals (void)
{
  struct fake_cell f = { .rate_limit_every = 5 };
  int code;
  json_t *report = run_load (&f, &code);
  const json_t *list = json_object_get (report, "organisations");
  CU_ASSERT_EQUAL (code, 0);
  CU_ASSERT_EQUAL (total_value (report, "", "refused"),
                   f.injected[FAULT_RATE_LIMIT]);
  CU_ASSERT_EQUAL (total_value (report, "codes", "rate_limited"),
                   f.injected[FAULT_RATE_LIMIT]);
  for (int i = 0; i < 2; i++)
    {
      const json_t *o = json_array_get (list, (size_t)i);
      double refused = json_number_value (json_object_get (o, "refused"));
      double wrongful
          = json_number_value (json_object_get (o, "wrongful_refusals"));
      /* All refusals of a are wrongful, as a keeps to its rate; rate and burst
         of b allow 300 of its 400 requests. */
      CU_ASSERT (i == 0 ? wrongful == refused
                        : wrongful < refused && wrongful > refused / 2);
    }
  json_decref (report);
}

/* Guards against a direct connection to an endpoint that does not run the
   same statements. */
static void
load_runs_directly (void)
{
  static const char *const none[] = { NULL };
  void *scratch = talloc_new (NULL);
  struct process *server = process_start (scratch, "standin-postgres", none);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  char *address
      = talloc_asprintf (scratch, "127.0.0.1:%d", process_port (server));
  char *info = talloc_asprintf (scratch,
                                "host=127.0.0.1 port=%d user=app dbname=d "
                                "sslmode=disable gssencmode=disable",
                                process_port (server));
  PGconn *conn = PQconnectdb (info);
  PQclear (PQexec (conn, "CREATE TABLE bookings(id TEXT PRIMARY KEY, "
                         "organisation TEXT, item TEXT, state TEXT)"));
  const char *args[]
      = { "--direct",  address, "--organisation", "name=a,key=K,rate=2000",
          "--seconds", "1",     "--connections",  "4",
          "--json",    NULL };
  struct process *p = process_run (scratch, "azurewind-load", args);
  CU_ASSERT_EQUAL (process_wait (p, 20000), 0);
  json_t *report
      = json_loads (bstr_to_text (scratch, process_output (p)), 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (report);
  CU_ASSERT (total_value (report, "", "ran") > 1500);
  CU_ASSERT_EQUAL (total_value (report, "", "ran"),
                   total_value (report, "", "offered"));
  CU_ASSERT (json_is_true (json_object_get (report, "verified")));
  const json_t *classes
      = json_object_get (json_object_get (report, "total"), "classes");
  PGresult *r = PQexec (conn, "SELECT count(*) FROM bookings");
  CU_ASSERT_EQUAL (atoll (PQgetvalue (r, 0, 0)),
                   json_integer_value (json_object_get (
                       json_object_get (classes, "write"), "ran")));
  PQclear (r);
  PQfinish (conn);
  json_decref (report);
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "load_reports_measures", load_reports_measures },
  { "load_finds_stale_reads", load_finds_stale_reads },
  { "load_finds_lost_writes", load_finds_lost_writes },
  { "load_finds_false_not_run", load_finds_false_not_run },
  { "load_counts_unknown_outcomes", load_counts_unknown_outcomes },
  { "load_counts_wrongful_refusals", load_counts_wrongful_refusals },
  { "load_runs_directly", load_runs_directly },
  { NULL, NULL },
};
TEST_SUITE (load, cases)
