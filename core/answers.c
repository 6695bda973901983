#include "core/answers.h"

#include <sodium.h>

/* Answers that are remembered.  A connection runs one statement at a time, so
   a copy would have to be later than this many statements take. */
#define MAX_REMEMBERED 512
#define FIRST_REMEMBERED 16

/** What is kept of an answer. */
struct remembered
{
  uint64_t key;  /**< Digest of what a copy of it has too; see digest_key. */
  uint64_t rows; /**< Digest of its rows. */
};

struct answers
{
  struct remembered *remembered; /**< Ring buffer. */
  unsigned size;                 /**< Its allocated entries. */
  unsigned count;                /**< Answers that were ever remembered. */
  struct position newest;        /**< Of the last answer that was new. */
  struct position newest_begin;  /**< Newest position of a success that left a
                                    transaction open without a signature. */
  bool has_begun;                /**< There was such a success. */
  bool has_error;
  bool has_copies; /**< An answer has certainly come twice. */
  /** An unsigned answer was accepted that may have been a copy, and no signed
   * one came since: the answer of that request may still come. */
  bool is_unsure;
};

struct answers *
answers_create (void *parent)
{
  struct answers *a = talloc_zero (parent, struct answers);
  a->size = FIRST_REMEMBERED;
  a->remembered = talloc_zero_array (a, struct remembered, a->size);
  return a;
}

static void
digest_bytes (crypto_generichash_state *state, struct bstr bytes)
{
  uint64_t len = bytes.len;
  crypto_generichash_update (state, (const unsigned char *)&len, sizeof len);
  crypto_generichash_update (state, (const unsigned char *)bytes.start,
                             bytes.len);
}

static void
digest_number (crypto_generichash_state *state, uint64_t number)
{
  crypto_generichash_update (state, (const unsigned char *)&number,
                             sizeof number);
}

static uint64_t
finish_digest (crypto_generichash_state *state)
{
  unsigned char digest[crypto_generichash_BYTES_MIN];
  uint64_t result;
  crypto_generichash_final (state, digest, sizeof digest);
  memcpy (&result, digest, sizeof result);
  return result;
}

static uint64_t
digest_rows (const struct answer_received *r)
{
  crypto_generichash_state state;
  if (r->row_count == 0)
    return 0;
  crypto_generichash_init (&state, NULL, 0, crypto_generichash_BYTES_MIN);
  for (int i = 0; i < r->row_count; i++)
    digest_bytes (&state, r->rows[i]);
  return finish_digest (&state);
}

/* Digest what two answers have in common if one is a copy of the other: the
   signature alone, which is unique, or everything; of an error without its
   rows, which may be those of an answer that it came in the middle of. */
static uint64_t
digest_key (const struct answer_received *r, uint64_t rows)
{
  crypto_generichash_state state;
  crypto_generichash_init (&state, NULL, 0, crypto_generichash_BYTES_MIN);
  digest_bytes (&state, r->signature);
  if (r->signature.len == 0)
    {
      digest_number (&state, r->end);
      digest_number (&state, r->outcome);
      digest_bytes (&state, r->text);
      digest_number (&state, r->end == ANSWER_ERROR ? 0 : rows);
      digest_number (&state, r->state);
      digest_number (&state, r->position.term);
      digest_number (&state, r->position.number);
    }
  return finish_digest (&state);
}

/* @return what is kept of the answer that came before; NULL: none did. */
static const struct remembered *
find_remembered (const struct answers *a, uint64_t key)
{
  unsigned known = a->count < a->size ? a->count : a->size;
  for (unsigned i = 0; i < known; i++)
    if (a->remembered[i].key == key)
      return &a->remembered[i];
  return NULL;
}

static void
remember (struct answers *a, uint64_t key, uint64_t rows)
{
  if (a->count == a->size && a->size < MAX_REMEMBERED)
    {
      a->size *= 2;
      a->remembered
          = talloc_realloc (a, a->remembered, struct remembered, a->size);
    }
  a->remembered[a->count++ % a->size] = (struct remembered){ key, rows };
}

/* @return whether the answer can be that of the request.  Rows of a signed
   answer say nothing: a signature is enough. */
static bool
fits (const struct answer_form *form, const struct answer_received *r)
{
  bool is_signed = r->signature.len > 0;
  switch (r->end)
    {
    case ANSWER_BARE:
      return form->is_start && r->state == SESSION_IDLE;
    case ANSWER_ERROR:
      return form->changes_state
             || (r->state == SESSION_IDLE)
                    == (form->success_state == SESSION_IDLE);
    default:
      return !form->is_start && form->is_signed == is_signed
             && (is_signed || form->has_row == (r->row_count > 0))
             && r->state == form->success_state
             && (r->position.term == 0
                 || position_compare (r->position, form->after) >= 0);
    }
}

/* @return whether the answer is that of the request but for its signature,
   which is missing. */
static bool
lacks_signature (const struct answer_form *form,
                 const struct answer_received *r)
{
  return r->end == ANSWER_COMPLETE && form->is_signed && r->signature.len == 0
         && r->state == form->success_state;
}

/* Judge an answer that does not differ from an earlier one. */
static enum answer_verdict
judge_repeated (struct answers *a, const struct answer_form *form,
                const struct answer_received *r)
{
  bool is_older
      = r->position.term != 0 && position_compare (r->position, a->newest) < 0;
  if (r->signature.len > 0 || form == NULL || !fits (form, r) || is_older)
    return ANSWER_COPY;
  if (r->end == ANSWER_COMPLETE && form->is_replaceable)
    {
      a->is_unsure = true;
      return ANSWER_OWN;
    }
  return ANSWER_DOUBTFUL;
}

/* Judge an answer that came for the first time. */
static enum answer_verdict
judge_new (struct answers *a, const struct answer_form *form,
           const struct answer_received *r)
{
  bool is_acknowledgement = r->end == ANSWER_COMPLETE && r->signature.len == 0;
  /* A copy was accepted for an earlier request, whose own answer this is. */
  if (a->is_unsure && is_acknowledgement && (form == NULL || !fits (form, r)))
    return ANSWER_COPY;
  if (form == NULL)
    return ANSWER_WRONG;
  /* Only an endpoint that refuses settings lets the error belong to one of
     them; where none has come twice, it is that of the oldest request. */
  if (a->is_unsure && a->has_copies && r->end == ANSWER_ERROR)
    return ANSWER_DOUBTFUL;
  if (!fits (form, r))
    return lacks_signature (form, r) ? ANSWER_OWN : ANSWER_WRONG;
  if (r->signature.len > 0)
    a->is_unsure = false;
  return ANSWER_OWN;
}

enum answer_verdict
answers_judge (struct answers *a, const struct answer_form *form,
               const struct answer_received *r)
{
  uint64_t rows = digest_rows (r), key = digest_key (r, rows);
  const struct remembered *before = find_remembered (a, key);
  enum answer_verdict verdict;
  if (before != NULL && before->rows != rows)
    /* It came in the middle of an answer, whose rows are among its own. */
    verdict = ANSWER_DOUBTFUL;
  else if (before != NULL)
    verdict = judge_repeated (a, form, r);
  else
    {
      verdict = judge_new (a, form, r);
      remember (a, key, rows);
      /* New answers come in order; a log that is rolled back falls behind. */
      if (r->position.term != 0)
        a->newest = r->position;
    }
  a->has_error |= r->end == ANSWER_ERROR;
  a->has_copies |= verdict == ANSWER_COPY;
  if (verdict == ANSWER_OWN && r->end == ANSWER_COMPLETE
      && r->signature.len == 0 && r->state == SESSION_IN_TRANSACTION)
    {
      a->newest_begin = position_max (a->newest_begin, r->position);
      a->has_begun = true;
    }
  return verdict;
}

bool
answers_are_unsure (const struct answers *a)
{
  return a->is_unsure;
}

bool
answers_have_error (const struct answers *a)
{
  return a->has_error;
}

bool
answers_repeat_begin (const struct answers *a, struct position endpoint)
{
  return a->has_begun
         && (a->newest_begin.term == 0
             || (position_compare (a->newest_begin, a->newest) >= 0
                 && position_compare (a->newest_begin, endpoint) >= 0));
}
