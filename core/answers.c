#include "core/answers.h"

#include <sodium.h>

/* Answers that are remembered.  A connection runs one statement at a time, so
   a copy would have to be later than this many statements take. */
#define MAX_REMEMBERED 512
#define FIRST_REMEMBERED 16

struct answers
{
  uint64_t *digests;            /**< Ring buffer. */
  unsigned size;                /**< Its allocated entries. */
  unsigned count;               /**< Answers that were ever remembered. */
  struct position newest;       /**< Of the last answer that was new. */
  struct position newest_begin; /**< Newest position of a success that left a
                                   transaction open without a signature. */
  bool has_begun;               /**< There was such a success. */
  bool has_error;
  /** An unsigned answer was accepted that may have been a copy, and no signed
   * one came since: the answer of that request may still come. */
  bool is_unsure;
};

struct answers *
answers_create (void *parent)
{
  struct answers *a = talloc_zero (parent, struct answers);
  a->size = FIRST_REMEMBERED;
  a->digests = talloc_zero_array (a, uint64_t, a->size);
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

/* Digest what two answers have in common if one is a copy of the other: the
   signature alone, which is unique, or everything. */
static uint64_t
digest_answer (const struct answer_received *r)
{
  crypto_generichash_state state;
  unsigned char digest[crypto_generichash_BYTES_MIN];
  uint64_t result;
  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  digest_bytes (&state, r->signature);
  if (r->signature.len == 0)
    {
      digest_number (&state, r->end);
      digest_number (&state, r->outcome);
      digest_bytes (&state, r->text);
      for (int i = 0; i < r->row_count; i++)
        digest_bytes (&state, r->rows[i]);
      digest_number (&state, r->state);
      digest_number (&state, r->position.term);
      digest_number (&state, r->position.number);
    }
  crypto_generichash_final (&state, digest, sizeof digest);
  memcpy (&result, digest, sizeof result);
  return result;
}

static bool
has_come_before (const struct answers *a, uint64_t digest)
{
  unsigned known = a->count < a->size ? a->count : a->size;
  for (unsigned i = 0; i < known; i++)
    if (a->digests[i] == digest)
      return true;
  return false;
}

static void
remember (struct answers *a, uint64_t digest)
{
  if (a->count == a->size && a->size < MAX_REMEMBERED)
    {
      a->size *= 2;
      a->digests = talloc_realloc (a, a->digests, uint64_t, a->size);
    }
  a->digests[a->count++ % a->size] = digest;
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
  if (a->is_unsure && r->end == ANSWER_ERROR)
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
  uint64_t digest = digest_answer (r);
  enum answer_verdict verdict;
  if (has_come_before (a, digest))
    verdict = judge_repeated (a, form, r);
  else
    {
      verdict = judge_new (a, form, r);
      remember (a, digest);
      /* New answers come in order; a log that is rolled back falls behind. */
      if (r->position.term != 0)
        a->newest = r->position;
    }
  a->has_error |= r->end == ANSWER_ERROR;
  if (verdict == ANSWER_OWN && r->end == ANSWER_COMPLETE
      && r->signature.len == 0 && r->state == SESSION_IN_TRANSACTION)
    {
      a->newest_begin = position_max (a->newest_begin, r->position);
      a->has_begun = true;
    }
  return verdict;
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
