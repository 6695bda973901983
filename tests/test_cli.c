#include "cli/cli.h"
#include "cli/client.h"
#include "cli/toml_edit.h"
#include "tests/process.h"
#include "tests/script.h"
#include "tests/tests.h"

#include <curl/curl.h>
#include <microhttpd.h>
#include <pthread.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* A stand-in for the platform, and an admin port as a daemon has it. */
struct fixture
{
  struct process *standin;
  char *url; /**< URL of the stand-in. */
  struct MHD_Daemon *admin;
  char *admin_url;
  bool draining; /**< The admin port has received a POST request. */
  char key[80];  /**< The key that was created last. */
  char *all_output;
};

static struct fixture *
fixture_create (void)
{
  static const char *const args[] = { "--listen", "127.0.0.1:0", NULL };
  struct fixture *f = talloc_zero (NULL, struct fixture);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  f->standin = process_start (f, "standin-platform", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->standin);
  f->url
      = talloc_asprintf (f, "http://127.0.0.1:%d", process_port (f->standin));
  f->all_output = talloc_strdup (f, "");
  return f;
}

/* Make the stand-in inject faults into its responses. */
static void
set_platform_faults (struct fixture *f, const char *body)
{
  char *url = talloc_asprintf (f, "%s/standin/faults", f->url);
  CU_ASSERT_EQUAL (process_http (f, "POST", url, body, NULL), 200);
}

static const char status_text[]
    = "{\"name\":\"vm-1\",\"draining\":%s,\"members\":2,\"groups\":["
      "{\"service\":\"lending-ledger\",\"term\":3,\"primary\":\"db1\","
      "\"writable\":true,\"phase\":0,\"queued\":4,\"endpoints\":["
      "{\"name\":\"db1\",\"role\":\"primary\"}]}]}";

#define LABELS "service=\"lending-ledger\",organisation=\"clerks\""

static const char metrics_text[]
    = "azurewind_connections 5\n"
      "azurewind_requests_total{" LABELS ",outcome=\"ran\"} 120\n"
      "azurewind_requests_total{" LABELS ",outcome=\"not_run\"} 7\n"
      "azurewind_requests_total{" LABELS ",outcome=\"unknown\"} 1\n"
      "azurewind_rate_limited_total{" LABELS "} 6\n"
      "azurewind_reads_total{" LABELS ",served_by=\"replica\"} 95\n"
      "azurewind_reads_total{" LABELS ",served_by=\"primary\"} 5\n"
      "azurewind_latency_microseconds{" LABELS
      ",class=\"write\",quantile=\"0.99\"} 2500\n"
      "malformed{ 5\n}{\nazurewind_rate_limited_total{service=\"x} 6\n";

static enum MHD_Result
answer_admin (void *data, struct MHD_Connection *connection, const char *url,
              const char *method, const char *version, const char *upload,
              size_t *upload_size, void **state)
{
  struct fixture *f = data;
  char text[2048];
  (void)version, (void)upload, (void)state;
  *upload_size = 0;
  if (strcmp (method, "POST") == 0)
    f->draining = true;
  if (strcmp (url, "/metrics") == 0)
    snprintf (text, sizeof text, "%s", metrics_text);
  else
    snprintf (text, sizeof text, status_text, f->draining ? "true" : "false");
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static void
start_admin (struct fixture *f)
{
  f->admin = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
                               answer_admin, f, MHD_OPTION_END);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->admin);
  f->admin_url = talloc_asprintf (
      f, "http://127.0.0.1:%d",
      MHD_get_daemon_info (f->admin, MHD_DAEMON_INFO_BIND_PORT)->port);
}

/* Replace everything that matches @p pattern by @p with. */
static char *
substitute (void *parent, const char *text, const char *pattern,
            const char *with)
{
  regex_t regex;
  regmatch_t match;
  char *out = talloc_strdup (parent, "");
  CU_ASSERT_EQUAL_FATAL (regcomp (&regex, pattern, REG_EXTENDED), 0);
  while (regexec (&regex, text, 1, &match, 0) == 0)
    {
      out = talloc_asprintf_append (out, "%.*s%s", (int)match.rm_so, text,
                                    with);
      text += match.rm_eo;
    }
  regfree (&regex);
  return talloc_asprintf_append (out, "%s", text);
}

/* Replace the parts of the output that differ between runs, such as keys,
   times and ports, by fixed words. */
static char *
normalise (void *parent, const char *text)
{
  static const char *const rules[][2] = {
    { "azw_[0-9a-f]{12}_[A-Za-z0-9_-]{32}", "KEY" },
    { "[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME" },
    { "127\\.0\\.0\\.1:[0-9]+", "127.0.0.1:PORT" },
    { "127\\.0\\.0\\.1 port [0-9]+ after [0-9]+ ms",
      "127.0.0.1 port PORT after N ms" },
    { "[0-9a-f]{64}", "SECRET" },
    { "[0-9a-f]{12}", "ID" },
  };
  char *copy = talloc_strdup (parent, text);
  char *out = substitute (parent, copy, "000000000000", "ZERO");
  for (size_t i = 0; i < sizeof rules / sizeof rules[0]; i++)
    out = substitute (parent, out, rules[i][0], rules[i][1]);
  return out;
}

/* Run the tool in this process.
   @param output set to the printed results, followed by the errors.
   @return the exit code. */
static int
run_tool (void *parent, const char *platform, const char *const *words,
          int count, char **output)
{
  const char *argv[SCRIPT_MAX_WORDS + 3] = { "azurewind" };
  int argc = 1;
  char *out_text = NULL, *messages_text = NULL;
  size_t out_len, messages_len;
  FILE *out = open_memstream (&out_text, &out_len);
  FILE *messages = open_memstream (&messages_text, &messages_len);
  for (int i = 0; i < count; i++)
    argv[argc++] = words[i];
  char *option = talloc_asprintf (parent, "--platform=%s", platform);
  bool given = false;
  for (int i = 0; i < count; i++)
    given |= strncmp (words[i], "--platform", 10) == 0;
  if (!given)
    argv[argc++] = option;
  int code = cli_run (argc, argv, out, messages);
  fclose (out);
  fclose (messages);
  *output = talloc_asprintf (parent, "%s%s", out_text, messages_text);
  free (out_text);
  free (messages_text);
  return code;
}

/* Nothing listens on port 1. */
#define CLOSED_PORT_URL "http://127.0.0.1:1"

/* Find a key that is not masked; a masked key has "*" after its prefix. */
static const char *
find_visible_key (const char *text)
{
  while ((text = strstr (text, "azw_")) != NULL && text[4] == '*')
    text++;
  return text;
}

/* Run one line of the script: set faults, or run the tool with the variables
   of the script replaced, and add its output to the transcript. */
static void
run_script_line (struct script *s, void *context)
{
  struct fixture *f = context;
  if (strcmp (s->words[0], "faults") == 0)
    {
      set_platform_faults (f, s->words[1]);
      script_print (s, "faults %s", s->words[1]);
      return;
    }
  void *scratch = talloc_new (NULL);
  char id[16], *output, *shown = talloc_strdup (scratch, "$ azurewind");
  snprintf (id, sizeof id, "%.12s", strlen (f->key) > 16 ? f->key + 4 : "");
  for (int i = 1; i < s->word_count; i++)
    {
      shown = talloc_asprintf_append (shown, " %s", s->words[i]);
      if (strcmp (s->words[i], "$ID") == 0)
        s->words[i] = id;
      else if (strcmp (s->words[i], "$KEY") == 0)
        s->words[i] = f->key;
      else if (strcmp (s->words[i], "--$KEY") == 0)
        s->words[i] = talloc_asprintf (scratch, "--%s", f->key);
      else if (strcmp (s->words[i], "$DAEMON") == 0)
        s->words[i] = f->admin_url;
      else if (strcmp (s->words[i], "$GONE") == 0)
        s->words[i] = CLOSED_PORT_URL;
    }
  int code
      = run_tool (scratch, f->url, s->words + 1, s->word_count - 1, &output);
  const char *key = find_visible_key (output);
  bool is_create = s->word_count > 2 && strcmp (s->words[2], "create") == 0;
  /* Only the command that creates a key may show one. */
  CU_ASSERT (key == NULL || is_create);
  if (key != NULL && is_create)
    snprintf (f->key, sizeof f->key, "%.*s", (int)strcspn (key, "\"\n "), key);
  script_print (s, "%s", shown);
  s->transcript = talloc_strdup_append_buffer (s->transcript,
                                               normalise (scratch, output));
  script_print (s, "exit %d", code);
  talloc_free (scratch);
}

/* Guards against unintended changes of the tool's interface: output, errors,
   exit codes, conflicts and lost responses, compared with a golden file.  Also
   guards against a key that is shown by any command but the one that creates
   it, or that is stored in plain text. */
static void
session (void)
{
  struct fixture *f = fixture_create ();
  setenv ("AZUREWIND_AUTHOR", "operator", 1);
  unsetenv ("AZUREWIND_DAEMONS");
  start_admin (f);
  script_run ("cli.txt", "cli.txt", run_script_line, f);
  char *keys_url = talloc_asprintf (f, "%s/objects/azurewind/keys", f->url);
  char *stored = NULL;
  CU_ASSERT_EQUAL (process_http (f, "GET", keys_url, NULL, &stored), 200);
  CU_ASSERT_PTR_NULL (strstr (stored, f->key));
  MHD_stop_daemon (f->admin);
  talloc_free (f);
}

#define RACERS 5
#define ROUNDS 4

/* An operator who changes the configuration and creates keys, in a thread. */
struct racer
{
  struct fixture *f;
  int number;   /**< Number of the organisation that it changes. */
  int failures; /**< Number of runs of the tool that failed. */
  pthread_t thread;
};

static void *
run_racer (void *data)
{
  struct racer *r = data;
  void *scratch = talloc_new (NULL);
  char name[16], rate[16], *output;
  snprintf (name, sizeof name, "org-%d", r->number);
  for (int i = 1; i <= ROUNDS; i++)
    {
      snprintf (rate, sizeof rate, "%d", 100 * r->number + i);
      const char *const set[] = { "rate", "set", "race", name, rate, "7" };
      const char *const create[] = { "key", "create", name };
      r->failures += run_tool (scratch, r->f->url, set, 6, &output) != 0;
      r->failures += run_tool (scratch, r->f->url, create, 3, &output) != 0;
    }
  talloc_free (scratch);
  return NULL;
}

static int
count_text (const char *text, const char *part)
{
  int count = 0;
  while ((text = strstr (text, part)) != NULL)
    {
      count++;
      text++;
    }
  return count;
}

/* Guards against lost changes when several operators work at the same time:
   each one changes the rate of an organisation of its own and creates keys,
   and all changes must be in the result. */
static void
racing_operators_lose_nothing (void)
{
  struct fixture *f = fixture_create ();
  struct racer racers[RACERS];
  char path[] = "/tmp/azw-race-XXXXXX", *output;
  FILE *file = fdopen (mkstemp (path), "wb");
  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  fprintf (file, "[services.race]\nconfirm_replicas = 0\n"
                 "endpoints.x.host = \"127.0.0.1\"\n");
  for (int i = 0; i < RACERS; i++)
    fprintf (file, "[services.race.organisations.org-%d] # number %d\n", i, i);
  fclose (file);
  const char *const apply[] = { "config", "apply", path };
  CU_ASSERT_EQUAL (run_tool (f, f->url, apply, 3, &output), 0);
  unlink (path);
  for (int i = 0; i < RACERS; i++)
    {
      racers[i] = (struct racer){ .f = f, .number = i };
      pthread_create (&racers[i].thread, NULL, run_racer, &racers[i]);
    }
  for (int i = 0; i < RACERS; i++)
    {
      pthread_join (racers[i].thread, NULL);
      CU_ASSERT_EQUAL (racers[i].failures, 0);
    }
  const char *const get[] = { "config", "get" };
  const char *const list[] = { "key", "list" };
  CU_ASSERT_EQUAL (run_tool (f, f->url, get, 2, &output), 0);
  for (int i = 0; i < RACERS; i++)
    {
      char part[64];
      snprintf (part, sizeof part, "org-%d] # number %d\nburst = 7\nrate = %d",
                i, i, 100 * i + ROUNDS);
      CU_ASSERT_PTR_NOT_NULL (strstr (output, part));
    }
  CU_ASSERT_EQUAL (run_tool (f, f->url, list, 2, &output), 0);
  CU_ASSERT_EQUAL (count_text (output, "org-"), RACERS * ROUNDS);
  talloc_free (f);
}

/* An expected request to the platform and the response to it. */
struct step
{
  const char *method;
  int status;       /* 0: close the connection without an answer. */
  const char *body; /* "$OP" stands for the operation of the PUT. */
};

#define MAX_STEPS 9

/* A platform that answers the requests of one update from a script, so that
   the order of events does not depend on time. */
struct scripted_platform
{
  const struct step *steps; /* The script; an empty step ends it. */
  int next_step;
  int unexpected_calls; /* Requests that the script does not expect. */
  char upload[4096];
  size_t upload_len;
  char op[64]; /* Operation of the newest PUT that has one. */
};

/* Keep the operation of the uploaded object for later responses. */
static void
capture_op (struct scripted_platform *s)
{
  json_t *json = json_loadb (s->upload, s->upload_len, 0, NULL);
  const char *op = json_string_value (json_object_get (json, "op"));
  if (op != NULL)
    snprintf (s->op, sizeof s->op, "%s", op);
  json_decref (json);
  s->upload_len = 0;
}

static enum MHD_Result
answer_script (void *data, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *upload,
               size_t *upload_size, void **state)
{
  struct scripted_platform *s = data;
  const struct step *step = &s->steps[s->next_step];
  (void)url, (void)version;
  if (*state == NULL)
    {
      *state = s;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (s->upload_len + *upload_size < sizeof s->upload)
        {
          memcpy (s->upload + s->upload_len, upload, *upload_size);
          s->upload_len += *upload_size;
        }
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (method, "PUT") == 0)
    capture_op (s);
  if (step->method == NULL || strcmp (step->method, method) != 0)
    {
      s->unexpected_calls++;
      return MHD_NO;
    }
  s->next_step++;
  if (step->status == 0)
    return MHD_NO;
  char *body = substitute (NULL, step->body, "[$]OP", s->op);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result
      = MHD_queue_response (connection, (unsigned)step->status, response);
  MHD_destroy_response (response);
  talloc_free (body);
  return result;
}

#define OBJECT(version, value)                                                \
  "{\"name\":\"x\",\"version\":" #version ",\"value\":\"" value "\"}"
#define BASE OBJECT (5, "{\\\"op\\\":\\\"base\\\"}")
#define OURS OBJECT (6, "{\\\"op\\\":\\\"$OP\\\"}")
#define OURS_FOLLOWED                                                         \
  OBJECT (8, "{\\\"op\\\":\\\"b\\\",\\\"previous_ops\\\":"                    \
             "[\\\"a\\\",\\\"$OP\\\",\\\"base\\\"]}")
#define SUPERSEDED                                                            \
  OBJECT (8, "{\\\"op\\\":\\\"b\\\",\\\"previous_ops\\\":"                    \
             "[\\\"a\\\",\\\"base\\\"]}")
#define NO_HISTORY OBJECT (8, "{}")
#define TRUNCATED_HISTORY                                                     \
  OBJECT (9, "{\\\"op\\\":\\\"b\\\",\\\"previous_ops\\\":[\\\"a\\\"]}")

/* Sequences of responses to one update, some of them lost or malformed, and
   the outcome that the client must report. */
static const struct
{
  const char *name;
  enum error_code expected;
  struct step steps[MAX_STEPS];
} lost_cases[] = {
  { "done", ERROR_NONE, { { "PUT", 200, "{\"version\":6}" } } },
  { "ran, answer lost",
    ERROR_NONE,
    { { "PUT", 0, "" }, { "GET", 200, OURS } } },
  { "ran, answer malformed",
    ERROR_NONE,
    { { "PUT", 200, "{" }, { "GET", 200, OURS } } },
  { "ran, then followed by two others",
    ERROR_NONE,
    { { "PUT", 0, "" }, { "GET", 200, OURS_FOLLOWED } } },
  { "another ran instead",
    ERROR_CONFLICT,
    { { "PUT", 0, "" }, { "GET", 200, SUPERSEDED } } },
  { "replaced by a program without history",
    ERROR_UNKNOWN,
    { { "PUT", 0, "" }, { "GET", 200, NO_HISTORY } } },
  { "history does not reach back to the base",
    ERROR_UNKNOWN,
    { { "PUT", 0, "" }, { "GET", 200, TRUNCATED_HISTORY } } },
  { "not run, sent again",
    ERROR_NONE,
    { { "PUT", 503, "" },
      { "GET", 200, BASE },
      { "PUT", 200, "{\"version\":6}" } } },
  { "ran, read back lost too",
    ERROR_NONE,
    { { "PUT", 0, "" }, { "GET", 0, "" }, { "PUT", 412, OURS } } },
  { "not run, another ran before it was sent again",
    ERROR_CONFLICT,
    { { "PUT", 0, "" }, { "GET", 200, BASE }, { "PUT", 412, SUPERSEDED } } },
  { "plain conflict", ERROR_CONFLICT, { { "PUT", 412, NO_HISTORY } } },
  { "conflict with a deleted object",
    ERROR_CONFLICT,
    { { "PUT", 412, "{\"name\":\"x\",\"version\":0,\"value\":null}" } } },
  { "refused", ERROR_REFUSED, { { "PUT", 400, "" } } },
  { "no answer at all",
    ERROR_UNKNOWN,
    { { "PUT", 0, "" },
      { "GET", 0, "" },
      { "PUT", 0, "" },
      { "GET", 0, "" },
      { "PUT", 0, "" },
      { "GET", 0, "" },
      { "PUT", 0, "" },
      { "GET", 0, "" } } },
};

/* Update the object that has version 5 and the operation "base". */
static enum error_code
try_update (const char *url)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct client *c = client_create (scratch, url, 5000, &err);
  struct client_object current;
  struct client_object base = { 5, bstr_from ("{\"op\":\"base\"}") };
  json_t *value = json_pack ("{s:s}", "toml", "mine");
  bool ok = client_update (c, "x", &base, value, &current, &err);
  json_decref (value);
  talloc_free (scratch);
  return ok ? ERROR_NONE : err.code;
}

/* Guards against a wrong outcome of an update whose response was lost: an
   update that ran must not be reported as failed, nor the reverse. */
static void
lost_answers_are_resolved (void)
{
  for (size_t i = 0; i < sizeof lost_cases / sizeof lost_cases[0]; i++)
    {
      char url[64];
      struct scripted_platform s = { .steps = lost_cases[i].steps };
      struct MHD_Daemon *daemon
          = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
                              answer_script, &s, MHD_OPTION_END);
      CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
      snprintf (url, sizeof url, "http://127.0.0.1:%d",
                MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
      enum error_code code = try_update (url);
      MHD_stop_daemon (daemon);
      if (code != lost_cases[i].expected || s.unexpected_calls > 0)
        printf ("%s: got \"%s\", %d unexpected calls\n", lost_cases[i].name,
                error_name (code), s.unexpected_calls);
      CU_ASSERT_EQUAL (code, lost_cases[i].expected);
      CU_ASSERT_EQUAL (s.unexpected_calls, 0);
      CU_ASSERT_PTR_NULL (s.steps[s.next_step].method);
    }
  /* Without a connection the update certainly did not run. */
  CU_ASSERT_EQUAL (try_update (CLOSED_PORT_URL), ERROR_UNAVAILABLE);
}

/* Guards against an edit that damages the text around the value, with one case
   for each way to write a table. */
static void
edits_keep_the_rest (void)
{
  static const char *const cases[][2] = {
    { "[a.b] # c\n# d\n", "[a.b] # c\nk = 5\n# d\n" },
    { "[a.b]", "[a.b]\nk = 5" },
    { "[a.b]\nk=1#x\n", "[a.b]\nk=5#x\n" },
    { "[a]\nb.k = 1\nb.j = 2", "[a]\nb.k = 5\nb.j = 2" },
    { "[a]\nb.j = 2 # \xc3\xa9\n", "[a]\nb.k = 5\nb.j = 2 # \xc3\xa9\n" },
    { "a.b.j = 2\n", "a.b.k = 5\na.b.j = 2\n" },
    { "[a]\nb = {}\n", "[a]\nb = { k = 5 }\n" },
    { "[a]\nb = { j = 1 }\n", "[a]\nb = { k = 5, j = 1 }\n" },
    { "a = { b = { k = \"\xc3\xa9\", j = 1 } }\n",
      "a = { b = { k = 5, j = 1 } }\n" },
    { "x = \"\"\"\n[a.b]\n\"\"\"\n[ a . \"b\" ]\n",
      "x = \"\"\"\n[a.b]\n\"\"\"\n[ a . \"b\" ]\nk = 5\n" },
    { "[a.b.c]\n", NULL },
    { "[a]\n", NULL },
    { "a = 1\n", NULL },
  };
  static const char *const path[] = { "a", "b", NULL };
  void *scratch = talloc_new (NULL);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct error err = { 0 };
      struct bstr out = toml_edit_set (scratch, bstr_from (cases[i][0]), path,
                                       "k", "5", &err);
      bool right = cases[i][1] != NULL
                       ? bstr_equals_text (out, cases[i][1])
                       : out.start == NULL && err.code != ERROR_NONE;
      if (!right)
        printf ("case %zu: \"%.*s\"\n", i, BSTR_ARG (out));
      CU_ASSERT_TRUE (right);
    }
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "session", session },
  { "racing_operators_lose_nothing", racing_operators_lose_nothing },
  { "lost_answers_are_resolved", lost_answers_are_resolved },
  { "edits_keep_the_rest", edits_keep_the_rest },
  { NULL, NULL },
};
TEST_SUITE (cli, cases)
