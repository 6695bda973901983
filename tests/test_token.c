#include "proto/token.h"
#include "tests/tests.h"

#include <stdio.h>

static const unsigned char key[SECRET_BYTES] = "token";
static const unsigned char other_key[SECRET_BYTES] = "other";

static bool
is_refused (void *parent, struct bstr text, const char *organisation,
            const unsigned char *decode_key)
{
  struct token token;
  struct error err = { 0 };
  return !token_decode (parent, text, bstr_from (organisation), decode_key,
                        &token, &err)
         && err.code == ERROR_INVALID;
}

static struct token
make_token (int entries)
{
  static char names[TOKEN_MAX_ENTRIES][16];
  struct token token = { .organisation = bstr_from ("moshi") };
  for (int i = 0; i < entries; i++)
    {
      snprintf (names[i], sizeof names[i], "service-%d", i);
      token_advance (&token, bstr_from (names[i]),
                     (struct position){ 1, (uint64_t)i + 100 });
    }
  return token;
}

/* Guards against a position that is lost when the caller returns the token,
   and a service name that is cut at a NUL byte. */
static void
positions_survive_a_round_trip (void)
{
  void *scratch = talloc_new (NULL);
  struct token read, token = make_token (TOKEN_MAX_ENTRIES - 1);
  token_advance (&token, (struct bstr){ "a\0b", 3 },
                 (struct position){ UINT64_MAX, UINT64_MAX });
  char *text = token_encode (scratch, &token, key);
  CU_ASSERT (strlen (text) <= TOKEN_MAX_TEXT);
  CU_ASSERT_FATAL (token_decode (scratch, bstr_from (text),
                                 bstr_from ("moshi"), key, &read, NULL));
  CU_ASSERT_EQUAL_FATAL (read.count, TOKEN_MAX_ENTRIES);
  for (int i = 0; i < read.count; i++)
    CU_ASSERT (
        bstr_equals (read.entries[i].service, token.entries[i].service)
        && read.entries[i].position.term == token.entries[i].position.term
        && read.entries[i].position.lsn == token.entries[i].position.lsn);
  talloc_free (scratch);
}

/* Guards against a token that is accepted although the caller forged or
   changed it, or took it from another organisation. */
static void
forged_tokens_are_refused (void)
{
  void *scratch = talloc_new (NULL);
  struct token token = make_token (2);
  char *text = token_encode (scratch, &token, key);
  size_t len = strlen (text);
  int accepted = 0;
  for (size_t i = 0; i < len; i++)
    {
      accepted
          += !is_refused (scratch, (struct bstr){ text, i }, "moshi", key);
      char kept = text[i];
      text[i] = kept == 'A' ? 'Q' : 'A';
      accepted += !is_refused (scratch, bstr_from (text), "moshi", key);
      text[i] = kept;
    }
  CU_ASSERT_EQUAL (accepted, 0);
  CU_ASSERT (is_refused (scratch, bstr_from (text), "moshi", other_key));
  CU_ASSERT (is_refused (scratch, bstr_from (text), "arusha", key));
  CU_ASSERT (is_refused (scratch, bstr_from (text), "mosh", key));
  CU_ASSERT (is_refused (scratch, bstr_from (""), "moshi", key));
  char *longer = talloc_asprintf (scratch, "%s%s", text, text);
  CU_ASSERT (is_refused (scratch, bstr_from (longer), "moshi", key));
  char *huge = talloc_zero_array (scratch, char, TOKEN_MAX_TEXT + 2);
  memset (huge, 'A', TOKEN_MAX_TEXT + 1);
  CU_ASSERT (is_refused (scratch, bstr_from (huge), "moshi", key));
  /* The unchanged text is accepted, so the changes caused the refusals. */
  CU_ASSERT_FALSE (is_refused (scratch, bstr_from (text), "moshi", key));
  talloc_free (scratch);
}

/* Guards against a full token that drops the most recently used service, so
   that a caller would not read its own write. */
static void
full_token_drops_the_oldest_entry (void)
{
  struct token token = make_token (TOKEN_MAX_ENTRIES);
  token_advance (&token, bstr_from ("service-0"),
                 (struct position){ 1, 1000 });
  token_advance (&token, bstr_from ("new"), (struct position){ 1, 1 });
  CU_ASSERT_EQUAL (token.count, TOKEN_MAX_ENTRIES);
  CU_ASSERT_EQUAL (token_position (&token, bstr_from ("new")).lsn, 1);
  CU_ASSERT_EQUAL (token_position (&token, bstr_from ("service-0")).lsn, 1000);
  /* Since service-0 was used again, service-1 is the oldest. */
  CU_ASSERT_EQUAL (token_position (&token, bstr_from ("service-1")).lsn, 0);
  for (int i = 2; i < TOKEN_MAX_ENTRIES; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "service-%d", i);
      CU_ASSERT_EQUAL (token_position (&token, bstr_from (name)).lsn,
                       (uint64_t)i + 100);
    }
}

/* Guards against a late answer that lowers a position. */
static void
positions_never_go_back (void)
{
  static const struct position steps[] = {
    { 1, 50 }, { 1, 40 }, { 2, 10 }, { 1, 900 },
    { 2, 9 },  { 2, 11 }, { 2, 11 },
  };
  static const struct position expected[] = {
    { 1, 50 }, { 1, 50 }, { 2, 10 }, { 2, 10 },
    { 2, 10 }, { 2, 11 }, { 2, 11 },
  };
  struct token token = { .count = 0 };
  for (int i = 0; i < 7; i++)
    {
      token_advance (&token, bstr_from ("s"), steps[i]);
      struct position p = token_position (&token, bstr_from ("s"));
      CU_ASSERT (p.term == expected[i].term && p.lsn == expected[i].lsn);
      CU_ASSERT_EQUAL (token.count, 1);
    }
}

static const struct test_case cases[] = {
  { "positions_survive_a_round_trip", positions_survive_a_round_trip },
  { "forged_tokens_are_refused", forged_tokens_are_refused },
  { "full_token_drops_the_oldest_entry", full_token_drops_the_oldest_entry },
  { "positions_never_go_back", positions_never_go_back },
  { NULL, NULL },
};
TEST_SUITE (token, cases)
