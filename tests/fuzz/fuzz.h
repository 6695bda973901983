/** @file
 * Parts that all fuzzers share.  Each fuzzer is one source file that includes
 * this header and defines LLVMFuzzerTestOneInput.
 */
#ifndef TESTS_FUZZ_FUZZ_H
#define TESTS_FUZZ_FUZZ_H

#include "common/bstr.h"

#include <jansson.h>
#include <sodium.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* Seed of jansson's hash tables, random by default.  With a fixed seed, two
   runs with the same seed of libFuzzer take the same path. */
#define FUZZ_HASH_SEED 1

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* A definition in a header is safe because each fuzzer is one source file. */
int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void)argc, (void)argv;
  json_object_seed (FUZZ_HASH_SEED);
  return sodium_init () < 0 ? 1 : 0;
}

/** Abort the run if @p condition is false. */
#define FUZZ_CHECK(condition)                                                 \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s does not hold\n", __FILE__, __LINE__,     \
                 #condition);                                                 \
        abort ();                                                             \
      }                                                                       \
  while (0)

/** Abort the run if @p text, which goes into a JSON answer, is not UTF-8. */
static inline void
fuzz_check_utf8 (const char *text)
{
  json_t *json = json_string (text);
  FUZZ_CHECK (json != NULL);
  json_decref (json);
}

#endif
