/** Tests of the session protocol on real processes: session daemons before
 * databases that read lines by the letter and answer some statements twice. */
#include "standins/site_line.h"
#include "tests/relay_site.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Time-out of a statement in the routes of the test's configuration. */
#define ROUTE_TIMEOUT_MS 1500
/* Time after which a connection whose ROLLBACK is not answered is closed, and
   some more. */
#define LOST_ROLLBACK_MS 1500

/* Text literal with its NULs. */
#define BYTES(text) ((struct bstr){ text, sizeof (text) - 1 })

static struct sessiond_site *
start_site (void)
{
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){
                .daemons = 2, .services = 1, .lag_ms = 5 });
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  return s;
}

static struct line_caller *
start_session (struct sessiond_site *s, int daemon, const char *database)
{
  struct line_answer a;
  struct line_caller *c = line_open (s, sessiond_site_port (s, daemon));
  CU_ASSERT_TRUE_FATAL (c != NULL && line_start (c, database, "key-a1", &a));
  return c;
}

/* @return whether the run of a statement recorded exactly these bytes. */
static bool
has_run (const json_t *observed, const char *id, const char *field,
         struct bstr bytes)
{
  const char *text = json_string_value (
      json_object_get (sessiond_site_run (observed, id), field));
  char *expected = site_line_escape (NULL, bytes);
  bool same = text != NULL && strcmp (text, expected) == 0;
  if (!same)
    printf ("%s: %s is \"%.200s\", not \"%.200s\"\n", id, field,
            text != NULL ? text : "(no run)", expected);
  talloc_free (expected);
  return same;
}

/* Run one statement, and check that it ran as it was sent and that its answer
   is that of its run. */
static void
check_statement (struct sessiond_site *s, struct line_caller *c,
                 struct bstr statement)
{
  struct line_answer a;
  CU_ASSERT_TRUE (line_query_bytes (c, &a, statement));
  json_t *observed = sessiond_site_observed (s);
  CU_ASSERT_TRUE (has_run (observed, a.id, "text", statement));
  CU_ASSERT_TRUE (
      has_run (observed, a.id, "signature", bstr_from (a.signature)));
  CU_ASSERT_TRUE (line_rows_match (c, sessiond_site_run (observed, a.id)));
  json_decref (observed);
}

static void
set_row (struct sessiond_site *s, struct bstr row)
{
  static const char *const databases[] = { "db-1-a", "db-1-b", "db-1-c" };
  char *fault = talloc_strdup (NULL, "row ");
  for (size_t i = 0; i < row.len; i++)
    fault = talloc_asprintf_append_buffer (fault, "%02x",
                                           (unsigned char)row.start[i]);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_fault (s, databases[i], fault));
  talloc_free (fault);
}

static void
set_all_faults (struct sessiond_site *s, const char *fault)
{
  static const char *const databases[] = { "db-1-a", "db-1-b", "db-1-c" };
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_fault (s, databases[i], fault));
}

/* Guards against data that end at a line feed: UNASKED, the endpoint ran
   another text than the caller sent. */
static void
data_with_line_feed_is_one_field (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  check_statement (s, c, BYTES ("WRITE k ab\ncd"));
  check_statement (s, c, BYTES ("WRITE k ab\n"));
  check_statement (s, c, BYTES ("WRITE k \rab\r"));
  check_statement (s, c, BYTES ("WRITE k a  b "));
  talloc_free (s);
}

/* Guards against data that become a statement of their own: UNASKED, the
   endpoint ran a write that nobody had sent. */
static void
data_is_no_second_statement (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  struct line_answer a;
  line_query_bytes (c, &a, BYTES ("WRITE k ab\nQUERY feed0123 WRITE k z"));
  usleep (50000);
  json_t *observed = sessiond_site_observed (s);
  CU_ASSERT_PTR_NULL (sessiond_site_run (observed, "feed0123"));
  CU_ASSERT_TRUE (has_run (observed, a.id, "text",
                           BYTES ("WRITE k ab\nQUERY feed0123 WRITE k z")));
  json_decref (observed);
  talloc_free (s);
}

/* Guards against data that end at a NUL: UNASKED. */
static void
data_with_nul_is_not_cut (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  check_statement (s, c, BYTES ("WRITE k ab\0cd"));
  check_statement (s, c, BYTES ("WRITE k \0"));
  check_statement (s, c, BYTES ("READ k\0k"));
  talloc_free (s);
}

/* Guards against a row that is taken for the rest of the answer: MIXED, the
   caller got the signature that stood in the row. */
static void
row_is_no_signature (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  set_row (s, BYTES ("x\nCOMPLETE f\nREADY I 1.1"));
  check_statement (s, c, BYTES ("READ k"));
  set_row (s, BYTES ("COMPLETE f"));
  check_statement (s, c, BYTES ("READ k"));
  talloc_free (s);
}

/* Guards against a row that closes the connection or is cut, at a line feed,
   a carriage return, a NUL or a blank: MIXED, or a read that is refused. */
static void
row_of_any_bytes_is_whole (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  static const struct bstr rows[] = { BYTES ("ab\ncd"), BYTES ("ab\0cd"),
                                      BYTES ("\n"),     BYTES ("ab\r"),
                                      BYTES ("\r\r"),   BYTES (" a  b "),
                                      BYTES (""),       BYTES ("\xff\x80") };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      set_row (s, rows[i]);
      check_statement (s, c, BYTES ("READ k"));
    }
  talloc_free (s);
}

/* Run EXECUTE s1 in turn by sessions that each prepared a shape of their own,
   on shared connections, and check which shape ran. */
static void
check_shapes (struct sessiond_site *s, const struct bstr *shapes, int count)
{
  struct line_caller *c[8];
  struct line_answer a;
  for (int i = 0; i < count; i++)
    {
      char *text = talloc_strdup (s, "PREPARE s1 WRITE ");
      size_t len = strlen (text);
      text = talloc_realloc (s, text, char, len + shapes[i].len);
      memcpy (text + len, shapes[i].start, shapes[i].len);
      c[i] = start_session (s, 0, "main1");
      CU_ASSERT_TRUE (line_query_bytes (
          c[i], &a, (struct bstr){ text, len + shapes[i].len }));
    }
  for (int round = 0; round < 4; round++)
    for (int i = 0; i < count; i++)
      {
        CU_ASSERT_TRUE (line_query (c[i], &a, "EXECUTE s1 item%d x", i));
        json_t *observed = sessiond_site_observed (s);
        CU_ASSERT_TRUE (has_run (observed, a.id, "what", shapes[i]));
        json_decref (observed);
      }
  for (int i = 0; i < count; i++)
    talloc_free (c[i]);
}

/* Guards against a prepared name that is not the shape's alone: PINNED, as in
   case 2 of the record, where "q15" ran as "WRITE rb WRITE q15 WRITE rb". */
static void
prepared_names_are_the_shapes_own (void)
{
  struct sessiond_site *s = start_site ();
  const struct bstr blanks[]
      = { BYTES (""), BYTES ("q15 WRITE rb"), BYTES ("q15"), BYTES ("q15 "),
          BYTES ("q15  WRITE rb") };
  const struct bstr bytes[]
      = { BYTES ("q1\0a"), BYTES ("q1\0b"), BYTES ("q1"),
          BYTES ("q1\na"), BYTES ("q1\nb"), BYTES ("q1\r") };
  check_shapes (s, blanks, 5);
  check_shapes (s, bytes, 6);
  talloc_free (s);
}

/* Guards against a long shape whose name makes the line longer than a message
   may be. */
static void
long_shapes_are_prepared (void)
{
  struct sessiond_site *s = start_site ();
  struct bstr shapes[2];
  for (int i = 0; i < 2; i++)
    {
      char *text = talloc_array (s, char, 900000);
      memset (text, 'q', 900000);
      text[899999] = (char)('a' + i);
      shapes[i] = (struct bstr){ text, 900000 };
    }
  check_shapes (s, shapes, 2);
  talloc_free (s);
}

/* Guards against session values that are cut or set under another name:
   PINNED, or SET refused. */
static void
session_values_of_any_bytes (void)
{
  static const struct bstr values[]
      = { BYTES ("a\nb"), BYTES ("a\0b"), BYTES ("a\0c"), BYTES ("a  b "),
          BYTES ("a\r"),  BYTES (""),     BYTES ("\n"),   BYTES (" ") };
  struct sessiond_site *s = start_site ();
  struct line_caller *c[8];
  struct line_answer a;
  for (int i = 0; i < 8; i++)
    {
      char text[32] = "SET mo\nde ";
      size_t len = strlen (text);
      memcpy (text + len, values[i].start, values[i].len);
      c[i] = start_session (s, 0, "main1");
      CU_ASSERT_TRUE (line_query_bytes (
          c[i], &a, (struct bstr){ text, len + values[i].len }));
    }
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < 8; i++)
      {
        CU_ASSERT_TRUE (line_query (c[i], &a, "WRITE item%d x", i));
        json_t *observed = sessiond_site_observed (s);
        const json_t *set
            = json_object_get (sessiond_site_run (observed, a.id), "values");
        char *expected = site_line_escape (s, values[i]);
        const char *value
            = json_string_value (json_object_get (set, "mo\\x0ade"));
        CU_ASSERT_EQUAL (json_object_size (set), 1);
        CU_ASSERT_TRUE (value != NULL && strcmp (value, expected) == 0);
        json_decref (observed);
      }
  talloc_free (s);
}

/* Fill @p bytes with a random text that is no CR LF inside: half of the bytes
   are those that have a meaning somewhere. */
static size_t
random_bytes (unsigned *state, char *bytes, size_t most)
{
  static const char special[] = { '\n', '\r', '\0', ' ' };
  size_t len = 1 + (size_t)rand_r (state) % most;
  for (size_t i = 0; i < len; i++)
    {
      bytes[i] = rand_r (state) % 2 == 0 ? special[rand_r (state) % 4]
                                         : (char)(rand_r (state) % 256);
      if (i > 0 && bytes[i - 1] == '\r' && bytes[i] == '\n')
        bytes[i] = 'x';
    }
  /* The line's end follows. */
  return len;
}

/* Guards against any byte of a caller's data, or of an endpoint's row, that
   changes, cuts or refuses it: 400 random texts and 400 random rows. */
static void
random_bytes_arrive_unchanged (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 1, "main1");
  struct line_answer a, answers[400];
  struct bstr texts[400];
  unsigned state = 42;
  int wrong = 0;
  for (int i = 0; i < 400; i++)
    {
      char text[80] = "WRITE k ";
      size_t len = 8 + random_bytes (&state, text + 8, 40);
      texts[i] = bstr_copy (s, (struct bstr){ text, len });
      line_query_bytes (c, &answers[i], texts[i]);
      set_row (s, bstr_skip (texts[i], 8));
      if (line_query_bytes (c, &a, BYTES ("READ k")) && c->row_count > 0
          && bstr_equals (c->rows[0], bstr_skip (texts[i], 8)))
        continue;
      wrong++;
      printf ("read %d: state=%d code=%s rows=%d\n", i, a.state, a.code,
              c->row_count);
    }
  json_t *observed = sessiond_site_observed (s);
  for (int i = 0; i < 400; i++)
    if (answers[i].code[0] != '\0'
        || !has_run (observed, answers[i].id, "text", texts[i]))
      {
        wrong++;
        printf ("write %d: state=%d code=%s\n", i, answers[i].state,
                answers[i].code);
      }
  json_decref (observed);
  CU_ASSERT_EQUAL (wrong, 0);
  talloc_free (s);
}

/* Guards against a line that is lost or split because it comes in pieces, or
   with others in one segment. */
static void
lines_in_pieces_and_together (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  const char *line = "QUERY a1 WRITE k x\ry\r\r\n";
  for (size_t i = 0; line[i] != '\0'; i++)
    {
      CU_ASSERT_TRUE (line_send_bytes (c, (struct bstr){ line + i, 1 }));
      usleep (1000);
    }
  CU_ASSERT_EQUAL (line_count_answers (c, 1), 1);
  CU_ASSERT_TRUE (line_send (c, "QUERY a2 WRITE k \n\r\nQUERY a3 READ k\r\n"
                                "QUERY a4 WRITE k z\r\n"));
  CU_ASSERT_EQUAL (line_count_answers (c, 3), 3);
  json_t *observed = sessiond_site_observed (s);
  CU_ASSERT_TRUE (has_run (observed, "a1", "text", BYTES ("WRITE k x\ry\r")));
  CU_ASSERT_TRUE (has_run (observed, "a2", "text", BYTES ("WRITE k \n")));
  CU_ASSERT_TRUE (has_run (observed, "a3", "text", BYTES ("READ k")));
  CU_ASSERT_TRUE (has_run (observed, "a4", "text", BYTES ("WRITE k z")));
  json_decref (observed);
  CU_ASSERT_FALSE (line_has_more (c, 100));
  talloc_free (s);
}

/* Guards against a message of the largest size that is refused or cut. */
static void
largest_message_is_served (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  struct line_answer a;
  size_t len = ((size_t)1 << 20) - strlen ("QUERY 0123456789abcdef \r\n");
  char *text = talloc_array (s, char, len);
  memset (text, 'x', len);
  memcpy (text, "WRITE k ", 8);
  CU_ASSERT_TRUE (line_query_bytes (c, &a, (struct bstr){ text, len }));
  CU_ASSERT_TRUE (line_query (c, &a, "READ k"));
  CU_ASSERT_EQUAL_FATAL (c->row_count, 2);
  CU_ASSERT_TRUE (
      bstr_equals (c->rows[1], (struct bstr){ text + 8, len - 8 }));
  /* With AFTER before it, a read of this length would be too long. */
  memcpy (text, "READ kkk", 8);
  CU_ASSERT_FALSE (line_query_bytes (c, &a, (struct bstr){ text, len }));
  CU_ASSERT_STRING_EQUAL (a.code, "MALFORMED");
  CU_ASSERT_TRUE (line_query (c, &a, "READ k"));
  talloc_free (s);
}

/* Guards against session values, or a result, that are too large for a message
   between daemons: the caller must be told at once, and nobody else may
   notice. */
static void
large_values_and_results_harm_nobody (void)
{
  struct sessiond_site *s = start_site ();
  struct line_answer a;
  char *text = talloc_array (s, char, 900000);
  for (int daemon = 0; daemon < 2; daemon++)
    {
      struct line_caller *c = start_session (s, daemon, "main1");
      struct line_caller *other = start_session (s, daemon, "main1");
      bool refused = false;
      for (int i = 0; i < 6 && !refused; i++)
        {
          memset (text, 'v', 900000);
          memcpy (text, "SET name0 ", 10);
          text[8] = (char)('0' + i);
          refused = !line_query_bytes (c, &a, (struct bstr){ text, 900000 });
        }
      memset (text, 'w', 900000);
      memcpy (text, "WRITE k ", 8);
      CU_ASSERT_TRUE (line_query_bytes (c, &a, (struct bstr){ text, 900000 }));
      CU_ASSERT_TRUE (line_query (c, &a, "READ k"));
      CU_ASSERT_TRUE (line_query (other, &a, "WRITE k x"));
      set_all_faults (s, "rows 5000");
      int64_t begin = sessiond_site_now_ms ();
      CU_ASSERT_FALSE (line_query (other, &a, "READ k"));
      printf ("[%s after %d ms] ", a.code,
              (int)(sessiond_site_now_ms () - begin));
      CU_ASSERT_STRING_EQUAL (a.code, "FAILED");
      CU_ASSERT_TRUE (sessiond_site_now_ms () - begin < ROUTE_TIMEOUT_MS);
      set_all_faults (s, "rows 1");
      CU_ASSERT_TRUE (line_query (other, &a, "READ k"));
      CU_ASSERT_TRUE (line_query (c, &a, "READ k"));
    }
  talloc_free (s);
}

/* Guards against an id that forges a field of a log line, or is so long that
   the fields behind it are missing. */
static void
ids_forge_no_log_field (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  char *id = talloc_array (s, char, 3000);
  memset (id, 'i', 3000);
  memcpy (id, "QUERY a\tb\"c\n\0", 13);
  memcpy (id + 2990, " READ k\r\n", 9);
  for (int i = 0; i < 3; i++)
    CU_ASSERT_TRUE (sessiond_site_fault (s,
                                         i == 0   ? "db-1-a"
                                         : i == 1 ? "db-1-b"
                                                  : "db-1-c",
                                         "refuse FAILED READ"));
  CU_ASSERT_TRUE (line_send_bytes (c, (struct bstr){ id, 2999 }));
  CU_ASSERT_EQUAL (line_count_answers (c, 1), 1);
  usleep (50000);
  char *log = bstr_to_text (s, process_output (s->daemons[0]));
  const char *line = strstr (log, "event=refused id=a?b\\\"c\\n?iii");
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  const char *outcome = strstr (line, " outcome=FAILED");
  CU_ASSERT_TRUE (outcome != NULL && outcome < strchr (line, '\n'));
  talloc_free (s);
}

/* Answers that come twice. */

/** What a caller was told of a statement. */
struct told
{
  struct line_answer answer;
  bool ok;
  bool in_transaction;
  int mode;       /**< Number of its session value. */
  bool rows_same; /**< The rows are those of the run; set by check_told. */
  char *rows;     /**< Escaped rows, joined. */
};

/** Statements of one test. */
struct told_list
{
  struct told *items;
  int count;
};

static char *
join_rows (void *parent, const struct line_caller *c)
{
  char *text = talloc_strdup (parent, "");
  for (int i = 0; i < c->row_count; i++)
    {
      char *row = site_line_escape (NULL, c->rows[i]);
      text = talloc_asprintf_append_buffer (text, "%s|", row);
      talloc_free (row);
    }
  return text;
}

/* Run a statement and remember what the caller was told. */
static struct told *
tell (struct sessiond_site *s, struct told_list *list, struct line_caller *c,
      const char *statement)
{
  list->items
      = talloc_realloc (s, list->items, struct told, (size_t)list->count + 1);
  struct told *t = &list->items[list->count++];
  *t = (struct told){ .mode = -1 };
  t->ok = line_query (c, &t->answer, "%s", statement);
  t->rows = join_rows (s, c);
  return t;
}

/* Check what the databases recorded by themselves: among it, writes that took
   effect twice and lines that are no request. */
static void
check_violations (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (observed, "violations")),
                   0);
  json_decref (observed);
}

/* Count the statements that the caller was told something false of: a success
   with another signature or other rows than those of its run, or with other
   session values; a promise for a write that is kept.
   @param successes set to the number of successes. */
static int
count_false_answers (struct sessiond_site *s, const struct told_list *list,
                     int *successes)
{
  json_t *observed = sessiond_site_observed (s), *run, *row;
  json_t *runs = json_object ();
  int wrong = 0;
  size_t i, k;
  *successes = 0;
  json_array_foreach (json_object_get (observed, "runs"), i, run)
      json_object_set (runs, json_string_value (json_object_get (run, "id")),
                       run);
  for (int n = 0; n < list->count; n++)
    {
      const struct told *t = &list->items[n];
      const json_t *ran = json_object_get (runs, t->answer.id);
      if (!t->ok || t->answer.signature[0] == '-')
        continue;
      ++*successes;
      const char *signature
          = json_string_value (json_object_get (ran, "signature"));
      char *rows = talloc_strdup (s, ""), mode[16];
      json_array_foreach (json_object_get (ran, "rows"), k, row) rows
          = talloc_asprintf_append_buffer (rows, "%s|",
                                           json_string_value (row));
      snprintf (mode, sizeof mode, "m%d", t->mode);
      const char *ran_mode = json_string_value (
          json_object_get (json_object_get (ran, "values"), "mode"));
      if (signature == NULL || strcmp (signature, t->answer.signature) != 0
          || strcmp (rows, t->rows) != 0
          || (t->mode >= 0
              && (ran_mode == NULL || strcmp (mode, ran_mode) != 0))
          || json_is_true (json_object_get (ran, "in_transaction"))
                 != t->in_transaction)
        wrong++;
    }
  json_decref (runs);
  json_decref (observed);
  return wrong;
}

/* Run reads and writes outside of transactions for some time, with an equal
   pause of none between them. */
static void
run_single_statements (struct sessiond_site *s, struct told_list *list,
                       int duration_ms)
{
  struct line_caller *c[4];
  static const char *const routes[] = { "main1", "own1", "main1", "browse1" };
  int64_t end = sessiond_site_now_ms () + duration_ms;
  for (int i = 0; i < 4; i++)
    c[i] = start_session (s, i % 2, routes[i]);
  for (int n = 0; sessiond_site_now_ms () < end; n++)
    {
      char text[64];
      int k = n % 4;
      snprintf (text, sizeof text,
                k != 3 && n % 3 == 0 ? "WRITE k%d d%d" : "READ k%d", n % 7, n);
      tell (s, list, c[k], text);
    }
}

/* @return the number of writes that are kept although their caller was given
   a promise that they are not. */
static int
count_broken_promises (struct sessiond_site *s, const struct told_list *list)
{
  static const char *const promises[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
  int broken = 0;
  for (int i = 0; i < list->count; i++)
    for (size_t k = 0; k < sizeof promises / sizeof promises[0]; k++)
      if (!list->items[i].ok
          && strcmp (list->items[i].answer.code, promises[k]) == 0)
        broken += sessiond_site_committed (s, list->items[i].answer.id) > 0;
  return broken;
}

/* Check that the callers were told nothing false, and that the databases found
   nothing wrong.
   @param least least share of the statements that succeed, in percent. */
static void
check_told (struct sessiond_site *s, const struct told_list *list, int least)
{
  int successes, wrong = count_false_answers (s, list, &successes);
  printf ("[%d of %d] ", wrong, successes);
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_EQUAL (count_broken_promises (s, list), 0);
  check_violations (s);
  CU_ASSERT_TRUE (successes > list->count * least / 100);
}

/* Guards against an answer that comes twice and is taken for that of another
   statement: MIXED, with three in ten good answers repeated. */
static void
repeated_results_are_nobody_elses (void)
{
  struct sessiond_site *s = start_site ();
  struct told_list list = { NULL, 0 };
  set_all_faults (s, "stutter 30 signed");
  run_single_statements (s, &list, 2500);
  check_told (s, &list, 90);
  talloc_free (s);
}

/* Guards against an error that comes twice and is taken for that of another
   statement: MIXED for the answers behind it, REFUSED for a write that ran. */
static void
repeated_errors_are_nobody_elses (void)
{
  struct sessiond_site *s = start_site ();
  struct told_list list = { NULL, 0 };
  set_all_faults (s, "busy 20");
  set_all_faults (s, "stutter 30 errors");
  run_single_statements (s, &list, 2500);
  check_told (s, &list, 80);
  talloc_free (s);
}

/* Run transactions with session values and prepared statements for some
   time. */
static void
run_transactions (struct sessiond_site *s, struct told_list *list,
                  int duration_ms)
{
  struct line_caller *c[3];
  struct line_answer a;
  int64_t end = sessiond_site_now_ms () + duration_ms;
  for (int i = 0; i < 3; i++)
    {
      c[i] = start_session (s, i % 2, "main1");
      CU_ASSERT_TRUE (line_query (c[i], &a, "SET mode m%d", i));
      CU_ASSERT_TRUE (line_query (c[i], &a, "PREPARE s1 WRITE shape%d", i));
    }
  for (int n = 0; sessiond_site_now_ms () < end; n++)
    {
      int k = n % 3;
      static const char *const statements[]
          = { "WRITE k x", "READ k", "EXECUTE s1 k y" };
      struct told *t = tell (s, list, c[k], n % 2 ? "BEGIN" : "BEGIN READ");
      bool ok = t->ok;
      for (int i = 0; ok && i < 3; i++)
        {
          if (n % 2 == 0 && i != 1)
            continue;
          t = tell (s, list, c[k], statements[i]);
          t->in_transaction = true;
          t->mode = k;
          ok = t->ok;
        }
      t = tell (s, list, c[k], ok && n % 5 != 0 ? "COMMIT" : "ROLLBACK");
      t->in_transaction = true;
    }
}

/* Guards against repeated answers within transactions: MIXED, and PINNED for
   values and prepared statements of another session. */
static void
repeated_answers_in_transactions (void)
{
  struct sessiond_site *s = start_site ();
  struct told_list list = { NULL, 0 };
  set_all_faults (s, "stutter 30 any");
  run_transactions (s, &list, 3000);
  check_told (s, &list, 34);
  talloc_free (s);
}

/* Guards against a signature that is passed on twice: the answer of each kind
   of statement comes a second time, at several times, while the next ones
   run. */
static void
repeated_answer_of_each_statement (void)
{
  static const char *const verbs[]
      = { "START", "RESET",   "SET",    "PREPARE",  "BEGIN", "READ",
          "WRITE", "EXECUTE", "COMMIT", "ROLLBACK", "STATUS" };
  struct sessiond_site *s = start_site ();
  struct told_list list = { NULL, 0 };
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    for (int ms = 1; ms <= 9; ms += 4)
      {
        char fault[40];
        snprintf (fault, sizeof fault, "repeat %d %s", ms, verbs[i]);
        for (int k = 0; k < 3; k++)
          set_all_faults (s, fault);
        run_transactions (s, &list, 60);
        run_single_statements (s, &list, 30);
      }
  check_told (s, &list, 34);
  talloc_free (s);
}

/* Guards against a promise that belongs to another statement: each kind of
   statement is refused once, and the error comes a second time while the next
   ones run. */
static void
repeated_error_of_each_statement (void)
{
  static const char *const verbs[]
      = { "BEGIN", "READ", "WRITE", "EXECUTE", "COMMIT" };
  static const char *const codes[] = { "BUSY", "READONLY", "FAILED" };
  struct sessiond_site *s = start_site ();
  struct told_list list = { NULL, 0 };
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    for (size_t k = 0; k < sizeof codes / sizeof codes[0]; k++)
      for (int ms = 1; ms <= 7; ms += 3)
        {
          char fault[40];
          snprintf (fault, sizeof fault, "refuse %s %s %d", codes[k], verbs[i],
                    ms);
          set_all_faults (s, fault);
          run_transactions (s, &list, 40);
          run_single_statements (s, &list, 20);
        }
  check_told (s, &list, 34);
  talloc_free (s);
}

/* Guards against a connection that is used again although the endpoint did not
   roll its transaction back. */
static void
refused_rollback_harms_nobody (void)
{
  struct sessiond_site *s = start_site ();
  struct line_answer a;
  for (int i = 0; i < 10; i++)
    {
      struct line_caller *first = start_session (s, 0, "main1");
      set_all_faults (s, "refuse READONLY ROLLBACK");
      CU_ASSERT_TRUE (line_query (first, &a, "BEGIN READ"));
      CU_ASSERT_TRUE (line_query (first, &a, "READ k"));
      talloc_free (first);
      usleep (40000);
      struct line_caller *next = start_session (s, 0, "main1");
      CU_ASSERT_TRUE (line_query (next, &a, "BEGIN READ"));
      CU_ASSERT_TRUE (line_query (next, &a, "READ k"));
      CU_ASSERT_TRUE (line_query (next, &a, "COMMIT"));
      talloc_free (next);
    }
  check_violations (s);
  talloc_free (s);
}

/* @return the connections of all databases. */
static int
count_connections (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s), *database;
  int count = 0;
  size_t i;
  json_array_foreach (json_object_get (observed, "databases"), i, database)
      count
      += (int)json_integer_value (json_object_get (database, "connections"));
  json_decref (observed);
  return count;
}

/* Guards against a connection that is kept for ever, unused, because the
   answer of its ROLLBACK is lost: the endpoint then refuses new ones. */
static void
lost_rollbacks_take_no_connections (void)
{
  struct sessiond_site *s = start_site ();
  struct line_answer a;
  int before = count_connections (s);
  for (int i = 0; i < 20; i++)
    {
      struct line_caller *c = start_session (s, 0, "main1");
      CU_ASSERT_TRUE (line_query (c, &a, "BEGIN READ"));
      CU_ASSERT_TRUE (line_query (c, &a, "READ k"));
      set_all_faults (s, "silence");
      talloc_free (c);
      usleep (20000);
      set_all_faults (s, "speak");
    }
  usleep (LOST_ROLLBACK_MS * 1000);
  int after = count_connections (s);
  printf ("[%d connections, %d before] ", after, before);
  CU_ASSERT_TRUE (after - before < 10);
  talloc_free (s);
}

/* Guards against a statement that runs outside of its transaction: PINNED, and
   REFUSED if it is a write, which is kept then.  The answer of a BEGIN READ
   comes a second time while the next one, which is refused, is outstanding. */
static void
reads_stay_in_their_transactions (void)
{
  struct sessiond_site *s = start_site ();
  struct line_caller *c = start_session (s, 0, "main1");
  struct line_answer a;
  char ids[60][sizeof a.id];
  int outside = 0, kept = 0;
  for (int i = 0; i < 60; i++)
    {
      char fault[40];
      snprintf (fault, sizeof fault, "repeat %d BEGIN", 1 + i % 20);
      set_all_faults (s, fault);
      set_all_faults (s, "refuse BUSY BEGIN");
      line_query (c, &a, "BEGIN READ");
      line_query (c, &a, "ROLLBACK");
      line_query (c, &a, "BEGIN READ");
      line_query (c, &a, i % 3 == 0 ? "WRITE k x" : "READ k");
      memcpy (ids[i], a.id, sizeof a.id);
      line_query (c, &a, "ROLLBACK");
    }
  json_t *observed = sessiond_site_observed (s);
  for (int i = 0; i < 60; i++)
    {
      const json_t *run = sessiond_site_run (observed, ids[i]);
      outside += json_is_false (json_object_get (run, "in_transaction"));
    }
  json_decref (observed);
  for (int i = 0; i < 60; i++)
    kept += sessiond_site_committed (s, ids[i]);
  printf ("[%d outside, %d kept] ", outside, kept);
  CU_ASSERT_EQUAL (outside, 0);
  CU_ASSERT_EQUAL (kept, 0);
  talloc_free (s);
}

/* Guards against a refusal that is told as unknown, or is not repeated,
   because settings were sent with its statement; and, with ASan, against the
   use of the connection that is closed then. */
static void
refusal_behind_settings_is_repeated (void)
{
  static const char *const statements[] = { "WRITE k x", "READ k" };
  struct sessiond_site *s = start_site ();
  struct line_answer a;
  for (int i = 0; i < 10; i++)
    {
      struct line_caller *c = start_session (s, 0, "main1");
      CU_ASSERT_TRUE (line_query (c, &a, "SET a%d x", i));
      CU_ASSERT_TRUE (line_query (c, &a, "SET b%d y", i));
      set_all_faults (s,
                      i % 2 == 0 ? "refuse BUSY WRITE" : "refuse BUSY READ");
      CU_ASSERT_TRUE (line_query (c, &a, "%s", statements[i % 2]));
      talloc_free (c);
    }
  check_violations (s);
  talloc_free (s);
}

static const struct test_case cases[] = {
  { "refusal_behind_settings_is_repeated",
    refusal_behind_settings_is_repeated },
  { "data_with_line_feed_is_one_field", data_with_line_feed_is_one_field },
  { "data_is_no_second_statement", data_is_no_second_statement },
  { "data_with_nul_is_not_cut", data_with_nul_is_not_cut },
  { "row_is_no_signature", row_is_no_signature },
  { "row_of_any_bytes_is_whole", row_of_any_bytes_is_whole },
  { "prepared_names_are_the_shapes_own", prepared_names_are_the_shapes_own },
  { "long_shapes_are_prepared", long_shapes_are_prepared },
  { "session_values_of_any_bytes", session_values_of_any_bytes },
  { "random_bytes_arrive_unchanged", random_bytes_arrive_unchanged },
  { "lines_in_pieces_and_together", lines_in_pieces_and_together },
  { "largest_message_is_served", largest_message_is_served },
  { "large_values_and_results_harm_nobody",
    large_values_and_results_harm_nobody },
  { "ids_forge_no_log_field", ids_forge_no_log_field },
  { "repeated_results_are_nobody_elses", repeated_results_are_nobody_elses },
  { "repeated_errors_are_nobody_elses", repeated_errors_are_nobody_elses },
  { "repeated_answers_in_transactions", repeated_answers_in_transactions },
  { "repeated_answer_of_each_statement", repeated_answer_of_each_statement },
  { "repeated_error_of_each_statement", repeated_error_of_each_statement },
  { "refused_rollback_harms_nobody", refused_rollback_harms_nobody },
  { "lost_rollbacks_take_no_connections", lost_rollbacks_take_no_connections },
  { "reads_stay_in_their_transactions", reads_stay_in_their_transactions },
  { NULL, NULL },
};

TEST_SUITE (line_protocol, cases)
