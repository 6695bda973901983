#include "common/error.h"
#include "common/stats.h"
#include "tests/tests.h"

/* Guards against a layer that hides the cause of an error. */
static void
wrap_keeps_the_cause (void)
{
  struct error err = { 0 };
  error_set (&err, ERROR_UNAVAILABLE, "connection refused");
  CU_ASSERT_FALSE (error_wrap (&err, ERROR_REFUSED, "endpoint %s", "a"));
  CU_ASSERT_EQUAL (err.code, ERROR_REFUSED);
  CU_ASSERT_STRING_EQUAL (err.text, "endpoint a: connection refused");
}

/* Guards against a bucket index that loses precision at power-of-two
   borders: the stated relative error is 1/16. */
static void
quantiles_stay_within_the_stated_error (void)
{
  struct histogram h = { 0 };
  for (uint64_t v = 1; v <= 100000; v++)
    histogram_add (&h, v);
  uint64_t p50 = histogram_quantile (&h, 0.5);
  uint64_t p99 = histogram_quantile (&h, 0.99);
  CU_ASSERT (p50 >= 50000 && p50 <= 50000 + 50000 / 16);
  CU_ASSERT (p99 >= 99000 && p99 <= 100000);
  CU_ASSERT_EQUAL (histogram_quantile (&h, 1.0), 100000);
}

static const struct test_case cases[] = {
  { "wrap_keeps_the_cause", wrap_keeps_the_cause },
  { "quantiles_stay_within_the_stated_error",
    quantiles_stay_within_the_stated_error },
  { NULL, NULL },
};
TEST_SUITE (common, cases)
