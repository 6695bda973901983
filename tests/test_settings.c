#include "common/file.h"
#include "common/toml_reader.h"
#include "core/settings.h"
#include "tests/tests.h"

#include <stdio.h>
#include <stdlib.h>

#define TREE_PATH "tests/golden/settings-tree.toml"

/* A service with two endpoints; bad inputs stand after or before it. */
#define SERVICE_A                                                             \
  "[services.a]\n"                                                            \
  "endpoints.x.host = \"127.0.0.1\"\n"                                        \
  "endpoints.y.host = \"127.0.0.2\"\n"

#define NAME_TOO_LONG                                                         \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

#define DOTS_10 "a.a.a.a.a.a.a.a.a.a."
#define DOTS_70 DOTS_10 DOTS_10 DOTS_10 DOTS_10 DOTS_10 DOTS_10 DOTS_10 "a"

static const char *const bad_inputs[] = {
  "",
  "[services]\n",
  "services = 5\n",
  "[default]\nrate = 1\n" SERVICE_A,
  "colour = 1\n" SERVICE_A,
  "[defaults]\nratte = 1\n" SERVICE_A,
  "[defaults]\nrate = \"fast\"\n" SERVICE_A,
  "[defaults]\nrate = -1\n" SERVICE_A,
  "[defaults]\nrate = nan\n" SERVICE_A,
  "[defaults]\nburst = inf\n" SERVICE_A,
  "[defaults]\nburst = 0\n" SERVICE_A,
  "[defaults]\ndeadline_ms = 1.5\n" SERVICE_A,
  "[defaults]\ndeadline_ms = 9223372036854775807\n" SERVICE_A,
  "[defaults]\ndeadline_ms = 9223372036854775808\n" SERVICE_A,
  "[defaults]\nenabled = 1\n" SERVICE_A,
  "[defaults]\nenabled = 1979-05-27\n" SERVICE_A,
  "[defaults]\nrate = [1]\n" SERVICE_A,
  "[defaults]\nrate = { a = 1 }\n" SERVICE_A,
  "[defaults]\nrate = 1\nrate = 2\n" SERVICE_A,
  "[defaults]\nrate = 1\nburst = 0\nweight = 0\n" SERVICE_A,
  "[services.a]\n",
  "[services.a.endpoints]\n",
  "[services.a]\nendpoints = []\n",
  "[services.a]\nendpoints.x = 1\n",
  "[services.a.endpoints.x]\nport = 1\n",
  "[services.a.endpoints.x]\nhost = \"db.example\"\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\nport = 0\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\nport = 65536\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\nprot = 1\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\nplace = \"Moshi\"\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\\u0000\"\n",
  "[services.a.endpoints.X]\nhost = \"127.0.0.1\"\n",
  SERVICE_A "endpoints.z = { host = \"127.0.0.2\", port = 5432 }\n",
  SERVICE_A "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\n",
  SERVICE_A SERVICE_A,
  "[services.a.endpoints]\n"
  "a.host = \"127.0.0.1\"\nb.host = \"127.0.0.2\"\n"
  "c.host = \"127.0.0.3\"\nd.host = \"127.0.0.4\"\n"
  "e.host = \"127.0.0.5\"\nf.host = \"127.0.0.6\"\n"
  "g.host = \"127.0.0.7\"\nh.host = \"127.0.0.8\"\n",
  "[services.\"a b\"]\nendpoints.x.host = \"127.0.0.1\"\n",
  "[services.\"\"]\nendpoints.x.host = \"127.0.0.1\"\n",
  "[services.\"caf\xc3\xa9\\u001b[2J\"]\nendpoints.x.host = \"127.0.0.1\"\n",
  "[services." NAME_TOO_LONG "]\nendpoints.x.host = \"127.0.0.1\"\n",
  SERVICE_A "databse = \"x\"\n",
  SERVICE_A "database = \"\"\n",
  SERVICE_A "database = \"a\\nb\"\n",
  SERVICE_A "organisation.b.rate = 1\n",
  SERVICE_A "organisations = \"b\"\n",
  SERVICE_A "organisations.B = {}\n",
  SERVICE_A "organisations.b = 1\n",
  SERVICE_A "organisations.b.rat = 1\n",
  SERVICE_A "organisations.b.host = 1\n",
  SERVICE_A "organisations.b.rate = 1000001\n",
  SERVICE_A "organisations.b.connections = 1\n",
  SERVICE_A "confirm_replicas = 2\n",
  "[services.a.endpoints.x]\nhost = \"127.0.0.1\"\n",
  SERVICE_A "suspect_ms = 5000\n",
  SERVICE_A "unreachable_ms = 500\n",
  SERVICE_A "open_reads = true\n",
  SERVICE_A "open_organisation = \"b\"\n",
  SERVICE_A "[[services.b]]\n",
  SERVICE_A "rate = \n",
  SERVICE_A "user = \"x\n",
  SERVICE_A "\xff\xfe\n",
  SERVICE_A "\n[=]\nrate = 1\n",
  SERVICE_A DOTS_70 " = 1\n",
};

static struct bstr
read_tree (void *parent)
{
  struct bstr text;
  text.start = file_read (parent, TREE_PATH, 8192, &text.len, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text.start);
  return text;
}

/* Guards against a bad tree that is applied, and against an error that does
   not name the file and the line, or that has more than one line. */
static void
bad_input_has_one_clear_error (void)
{
  void *scratch = talloc_new (NULL);
  char *list = talloc_strdup (scratch, "");
  for (size_t i = 0; i < sizeof bad_inputs / sizeof bad_inputs[0]; i++)
    {
      struct error err = { 0 };
      struct settings *s = settings_parse (scratch, "tree.toml",
                                           bstr_from (bad_inputs[i]), &err);
      CU_ASSERT_PTR_NULL (s);
      CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
      CU_ASSERT (strncmp (err.text, "tree.toml:", 10) == 0);
      CU_ASSERT_PTR_NULL (strchr (err.text, '\n'));
      list = talloc_asprintf_append (list, "%s\n", err.text);
    }
  CU_ASSERT (golden_matches ("settings-errors.txt", bstr_from (list)));
  talloc_free (scratch);
}

/* Guards against a level that does not inherit a value, or that overrides more
   than it names. */
static void
levels_inherit (void)
{
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct settings *s
      = settings_parse (scratch, TREE_PATH, read_tree (scratch), &err);
  CU_ASSERT_STRING_EQUAL (err.text, "");
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (s->service_count, 2);
  const struct settings_service *ledger
      = settings_find_service (s, bstr_from ("lending-ledger"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (ledger);
  const struct settings_organisation *clerks
      = settings_find_organisation (ledger, bstr_from ("clerks"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (clerks);
  CU_ASSERT_EQUAL (clerks->values.rate, 400);
  CU_ASSERT_EQUAL (clerks->values.burst, 80.5);
  CU_ASSERT_EQUAL (clerks->values.deadline_ms, 3000);
  CU_ASSERT_EQUAL (clerks->values.max_rows, 10000);
  CU_ASSERT_EQUAL (ledger->values.rate, 50);
  CU_ASSERT_STRING_EQUAL (ledger->database, "ledger");
  CU_ASSERT_EQUAL (ledger->endpoint_count, 3);
  CU_ASSERT_STRING_EQUAL (ledger->endpoints[0].name, "db1");
  CU_ASSERT_EQUAL (ledger->endpoints[1].port, 5432);
  CU_ASSERT_TRUE (ledger->endpoints[2].leaving);
  const struct settings_service *glazing
      = settings_find_service (s, bstr_from ("glazing-core"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (glazing);
  CU_ASSERT_EQUAL (glazing->values.burst, 200);
  CU_ASSERT_STRING_EQUAL (glazing->database, "glazing-core");
  CU_ASSERT_EQUAL (glazing->organisations[0].values.weight, 2);
  CU_ASSERT_EQUAL (glazing->organisations[0].values.rate, 50);
  talloc_free (scratch);
}

/* Guards against an explanation that names another level than the one that
   sets the value. */
static void
explain_names_the_level (void)
{
  static const char *const questions[][3] = {
    { "lending-ledger", "clerks", "rate" },
    { "lending-ledger", "clerks", "burst" },
    { "lending-ledger", "clerks", "deadline_ms" },
    { "lending-ledger", "clerks", "max_rows" },
    { "lending-ledger", "public", "rate" },
    { "lending-ledger", "", "database" },
    { "lending-ledger", "", "user" },
    { "glazing-core", "booking", "weight" },
    { "glazing-core", "", "open_reads" },
    { "glazing-core", "booking", "wait" },
    { "glazing-core", "clerks", "rate" },
    { "glazing", "", "rate" },
  };
  void *scratch = talloc_new (NULL);
  struct bstr text = read_tree (scratch);
  struct settings *s = settings_parse (scratch, TREE_PATH, text, NULL);
  char *list = talloc_strdup (scratch, "");
  for (size_t i = 0; i < sizeof questions / sizeof questions[0]; i++)
    {
      const char *const *q = questions[i];
      struct error err = { 0 };
      char *level = settings_explain (scratch, text, q[0], q[1], q[2], &err);
      char *value = settings_value (scratch, s, q[0], q[1], q[2], &err);
      list = talloc_asprintf_append (list, "%s/%s/%s: ", q[0], q[1], q[2]);
      list = level != NULL
                 ? talloc_asprintf_append (list, "%s from %s\n", value, level)
                 : talloc_asprintf_append (list, "error: %s\n", err.text);
    }
  CU_ASSERT (golden_matches ("settings-explain.txt", bstr_from (list)));
  talloc_free (scratch);
}

/* Guards against a difference in the values in force that is not listed. */
static void
diff_lists_values_in_force (void)
{
  static const char to_text[]
      = "[defaults]\nrate = 60\n"
        "[services.lending-ledger]\nuser = \"lender\"\n"
        "[services.lending-ledger.endpoints.db3]\nhost = \"::1\"\n"
        "[services.lending-ledger.endpoints.db1]\nhost = \"127.0.0.9\"\n"
        "[services.lending-ledger.endpoints.db4]\nhost = \"127.0.0.4\"\n"
        "[services.lending-ledger.organisations.clerks]\nrate = 400\n"
        "[services.lending-ledger.organisations.staff]\n"
        "[services.new]\nconfirm_replicas = 0\n"
        "endpoints.x.host = \"127.0.0.1\"\n";
  void *scratch = talloc_new (NULL);
  struct error err = { 0 };
  struct settings *from
      = settings_parse (scratch, TREE_PATH, read_tree (scratch), &err);
  struct settings *to
      = settings_parse (scratch, "to", bstr_from (to_text), &err);
  CU_ASSERT_STRING_EQUAL (err.text, "");
  CU_ASSERT_PTR_NOT_NULL_FATAL (to);
  CU_ASSERT (golden_matches ("settings-diff.txt",
                             bstr_from (settings_diff (scratch, from, to))));
  CU_ASSERT_STRING_EQUAL (settings_diff (scratch, from, from), "");
  CU_ASSERT_STRING_EQUAL (settings_diff (scratch, NULL, to),
                          "+ services.lending-ledger\n+ services.new\n");
  talloc_free (scratch);
}

/* Guards against spans that do not cover exactly the value: the operators'
   tool edits files in place and replaces the span. */
static void
spans_cover_values (void)
{
  static const char text[] = "# \xc3\xa9\n[a]\nb = 1.5 # \xc3\xa9\n"
                             "c = \"\xc3\xa9\"\nd = { e = false, f = [1] }";
  static const char *const expected[]
      = { "1.5", "\"\xc3\xa9\"", "{ e = false, f = [1] }" };
  void *scratch = talloc_new (NULL);
  struct toml_node *root
      = toml_reader_parse (scratch, "t", bstr_from (text), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (root);
  const struct toml_node *a = toml_reader_find (root, bstr_from ("a"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (a);
  for (int i = 0; i < 3; i++)
    {
      struct toml_span span = a->children[i].span;
      struct bstr part = { text + span.start, span.end - span.start };
      CU_ASSERT (bstr_equals_text (part, expected[i]));
    }
  talloc_free (scratch);
}

/* Returns a copy of a text with up to three random changes: bytes replaced,
   deleted, duplicated or copied. */
static struct bstr
mutate (void *parent, struct bstr text, unsigned *seed)
{
  static const char interesting[] = "\"'[]{}=.#\n\\,-+_0aeux\x00\x7f\xc3\xff ";
  char *out = talloc_size (parent, text.len * 2 + 64);
  size_t len = text.len;
  memcpy (out, text.start, len);
  int changes = 1 + rand_r (seed) % 3;
  for (int i = 0; i < changes && len > 16; i++)
    {
      size_t at = (size_t)rand_r (seed) % len;
      size_t n = 1 + (size_t)rand_r (seed) % 15;
      if (n > len - at)
        n = len - at;
      switch (rand_r (seed) % 4)
        {
        case 0:
          out[at]
              = interesting[(size_t)rand_r (seed) % (sizeof interesting - 1)];
          break;
        case 1:
          memmove (out + at, out + at + n, len - at - n);
          len -= n;
          break;
        case 2:
          if (len + n > text.len * 2)
            break;
          memmove (out + at + n, out + at, len - at);
          len += n;
          break;
        default:
          out[at] = out[(size_t)rand_r (seed) % len];
          break;
        }
    }
  return (struct bstr){ out, len };
}

#define FUZZ_SEEDS 4000

/* Guards against memory errors on malformed trees (run it with
   SANITIZE=1), against errors without a line and against accepted trees
   that break a rule. */
static void
mutated_trees_are_handled (void)
{
  void *scratch = talloc_new (NULL);
  struct bstr text = read_tree (scratch);
  int accepted = 0, wrong_results = 0;
  for (unsigned i = 1; i <= FUZZ_SEEDS; i++)
    {
      unsigned seed = i;
      void *round = talloc_new (scratch);
      struct error err = { 0 };
      struct bstr input = mutate (round, text, &seed);
      struct settings *s = settings_parse (round, "fuzz", input, &err);
      accepted += s != NULL;
      wrong_results += (s == NULL) != (err.code == ERROR_INVALID)
                       || (s == NULL && strncmp (err.text, "fuzz:", 5) != 0);
      for (int j = 0; s != NULL && j < s->service_count; j++)
        wrong_results += s->services[j].endpoint_count < 1
                         || !(s->services[j].values.rate >= 0)
                         || !option_is_name (bstr_from (s->services[j].name));
      talloc_free (round);
    }
  CU_ASSERT_EQUAL (wrong_results, 0);
  CU_ASSERT (accepted > 0 && accepted < FUZZ_SEEDS);
  printf ("[%d of %d mutated trees accepted] ", accepted, FUZZ_SEEDS);
  talloc_free (scratch);
}

/* Guards against undefined behaviour in toml++ 3.3 at letters that are not
   ASCII, and against reading past a NUL in a text.  Only a build with
   sanitizers detects the first. */
static void
foreign_letters_are_refused_in_names (void)
{
  static const char *const bad[] = {
    "[services.\xCF\x9B]\n",     /* U+03DB */
    "[services.caf\xC3\xA9]\n",  /* U+00E9 */
    "[services.\xE2\xB1\x9E]\n", /* U+2C5E */
    "[services.a]\ndatabase = \"x\\u0000yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\"\n",
  };
  void *scratch = talloc_new (NULL);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct error err = { 0 };
      CU_ASSERT_PTR_NULL (
          settings_parse (scratch, "config", bstr_from (bad[i]), &err));
      CU_ASSERT_EQUAL (err.code, ERROR_INVALID);
    }
  struct toml_node *root = toml_reader_parse (
      scratch, "config", bstr_from ("# \xCF\x9B caf\xC3\xA9\na = 1\n"), NULL);
  CU_ASSERT_PTR_NOT_NULL (root);
  talloc_free (scratch);
}

static const struct test_case cases[] = {
  { "bad_input_has_one_clear_error", bad_input_has_one_clear_error },
  { "levels_inherit", levels_inherit },
  { "explain_names_the_level", explain_names_the_level },
  { "diff_lists_values_in_force", diff_lists_values_in_force },
  { "spans_cover_values", spans_cover_values },
  { "mutated_trees_are_handled", mutated_trees_are_handled },
  { "foreign_letters_are_refused_in_names",
    foreign_letters_are_refused_in_names },
  { NULL, NULL },
};
TEST_SUITE (settings, cases)
