#include "common/clock.h"
#include "net/platform.h"
#include "tests/process.h"
#include "tests/tests.h"

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#define CALL_MS 2000
#define WATCHES 1000
#define OBJECTS 1200

/* A client and the stand-in platform that it uses. */
struct fixture
{
  struct tevent_context *ev;
  struct process *standin;
  char *url;
  struct platform *client;
};

/* Result of one or more calls. */
struct outcome
{
  int calls; /* Callbacks. */
  enum error_code code;
  uint64_t version; /* Version of the object, or revision of a watch. */
  int count;        /* Objects that changed, or VMs. */
  int leaving;      /* VMs marked as leaving. */
  size_t len;
  char value[64];
};

static struct fixture *
fixture_create (void)
{
  static const char *const args[] = { "--listen", "127.0.0.1:0", NULL };
  struct fixture *f = talloc_zero (NULL, struct fixture);
  struct error err = { 0 };
  f->ev = tevent_context_init (f);
  f->standin = process_start (f, "standin-platform", args);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->standin);
  f->url
      = talloc_asprintf (f, "http://127.0.0.1:%d", process_port (f->standin));
  struct platform_options options
      = { .ev = f->ev, .url = f->url, .timeout_ms = CALL_MS };
  f->client = platform_create (f, &options, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->client);
  return f;
}

static void
fixture_free (struct fixture *f)
{
  TALLOC_FREE (f->client);
  process_signal (f->standin, SIGTERM);
  CU_ASSERT_EQUAL (process_wait (f->standin, 5000), 0);
  talloc_free (f);
}

static void
set_faults (struct fixture *f, const char *body)
{
  char *url = talloc_asprintf (f, "%s/standin/faults", f->url);
  CU_ASSERT_EQUAL (process_http (f, "POST", url, body, NULL), 200);
}

static void
on_object (void *data, const struct error *err,
           const struct platform_object *object)
{
  struct outcome *o = data;
  o->calls++;
  o->code = err->code;
  o->version = object->version;
  o->len = object->value.len;
  snprintf (o->value, sizeof o->value, "%.*s", BSTR_ARG (object->value));
}

static void
on_changes (void *data, const struct error *err,
            const struct platform_object *objects, int count,
            uint64_t revision)
{
  struct outcome *o = data;
  o->calls++;
  o->code = err->code;
  o->count = count;
  o->version = revision;
  if (count > 0)
    snprintf (o->value, sizeof o->value, "%.*s=%.*s",
              BSTR_ARG (objects[0].name), BSTR_ARG (objects[0].value));
}

static void
on_vms (void *data, const struct error *err, const struct platform_vm *vms,
        int count)
{
  struct outcome *o = data;
  o->calls++;
  o->code = err->code;
  o->count = count;
  o->leaving = 0;
  for (int i = 0; i < count; i++)
    o->leaving += vms[i].leaving;
}

static void
on_alarm (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  *(bool *)data = true;
}

/* Run the event loop until @p count calls have ended, for at most 10 s. */
static void
run_until (struct fixture *f, const struct outcome *o, int count)
{
  bool late = false;
  struct tevent_timer *alarm = tevent_add_timer (
      f->ev, f, tevent_timeval_current_ofs (10, 0), on_alarm, &late);
  while (o->calls < count && !late)
    tevent_loop_once (f->ev);
  if (!late)
    talloc_free (alarm);
  CU_ASSERT_EQUAL (o->calls, count);
}

static struct outcome
put (struct fixture *f, const char *name, uint64_t version, const char *value)
{
  struct outcome o = { 0 };
  platform_put (f->client, name, version, bstr_from (value), on_object, &o);
  run_until (f, &o, 1);
  return o;
}

static struct outcome
get (struct fixture *f, const char *name)
{
  struct outcome o = { 0 };
  platform_get (f->client, name, on_object, &o);
  run_until (f, &o, 1);
  return o;
}

/* Guards against an update that overwrites a version unknown to its writer. */
static void
updates_are_conditional (void)
{
  struct fixture *f = fixture_create ();
  struct outcome o = get (f, "a/x");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 0 && o.len == 0);
  o = put (f, "a/x", 0, "one \"quoted\"");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 1);
  o = put (f, "b/y", 0, "");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 2);
  o = put (f, "a/x", 1, "two");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 3);
  o = put (f, "a/x", 1, "three");
  CU_ASSERT (o.code == ERROR_CONFLICT && o.version == 3);
  CU_ASSERT_STRING_EQUAL (o.value, "two");
  o = put (f, "a/x", 0, "four");
  CU_ASSERT (o.code == ERROR_CONFLICT && o.version == 3);
  o = put (f, "c/z", 5, "five");
  CU_ASSERT (o.code == ERROR_CONFLICT && o.version == 0);
  o = get (f, "a/x");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 3);
  CU_ASSERT_STRING_EQUAL (o.value, "two");
  o = get (f, "b/y");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 2 && o.len == 0);
  CU_ASSERT_EQUAL (platform_call_count (f->client), 9);
  fixture_free (f);
}

/* Guards against a watch that misses a change, reports objects outside its
   prefix, or does not return after its timeout. */
static void
watch_reports_changes (void)
{
  struct fixture *f = fixture_create ();
  struct outcome watch = { 0 };
  put (f, "a/x", 0, "one");
  platform_watch (f->client, "a/", 0, 5000, on_changes, &watch);
  run_until (f, &watch, 1);
  CU_ASSERT (watch.code == ERROR_NONE && watch.count == 1);
  CU_ASSERT_EQUAL (watch.version, 1);
  CU_ASSERT_STRING_EQUAL (watch.value, "a/x=one");
  watch = (struct outcome){ 0 };
  platform_watch (f->client, "a/", 1, 5000, on_changes, &watch);
  put (f, "b/x", 0, "other");
  CU_ASSERT_EQUAL (watch.calls, 0);
  int64_t start = clock_now ();
  put (f, "a/x", 1, "two");
  run_until (f, &watch, 1);
  CU_ASSERT (clock_now () - start < 2 * USEC_PER_SEC);
  CU_ASSERT (watch.code == ERROR_NONE && watch.count == 1);
  CU_ASSERT_EQUAL (watch.version, 3);
  CU_ASSERT_STRING_EQUAL (watch.value, "a/x=two");
  watch = (struct outcome){ 0 };
  start = clock_now ();
  platform_watch (f->client, "a/", 3, 100, on_changes, &watch);
  run_until (f, &watch, 1);
  CU_ASSERT (watch.code == ERROR_NONE && watch.count == 0);
  CU_ASSERT (clock_now () - start >= 99 * USEC_PER_MSEC);
  fixture_free (f);
}

/* Guards against a change that a client that starts never learns of, as it was
   made while the client read many objects: they come in one answer, which is
   complete up to the revision that the next watch starts from. */
static void
first_answer_is_complete (void)
{
  struct fixture *f = fixture_create ();
  struct outcome first = { 0 }, next = { 0 };
  char name[16];
  for (int i = 0; i < OBJECTS; i++)
    {
      snprintf (name, sizeof name, "a/%04d", i);
      put (f, name, 0, "one");
    }
  platform_watch (f->client, "a/", 0, 5000, on_changes, &first);
  struct outcome changed = put (f, "a/0000", 1, "two");
  run_until (f, &first, 1);
  CU_ASSERT_EQUAL (first.count, OBJECTS);
  if (first.version < changed.version)
    {
      platform_watch (f->client, "a/", first.version, 5000, on_changes, &next);
      run_until (f, &next, 1);
      CU_ASSERT_EQUAL (next.count, 1);
      CU_ASSERT_STRING_EQUAL (next.value, "a/0000=two");
    }
  else
    CU_ASSERT_STRING_EQUAL (first.value, "a/0000=two");
  fixture_free (f);
}

/* Guards against a deletion that a watch does not report, and one that takes
   effect without the matching version. */
static void
watch_reports_deletions (void)
{
  struct fixture *f = fixture_create ();
  struct outcome watch = { 0 };
  char *url = talloc_asprintf (f, "%s/objects/a/x", f->url);
  put (f, "a/x", 0, "one");
  platform_watch (f->client, "a/", 1, 5000, on_changes, &watch);
  CU_ASSERT_EQUAL (process_http (f, "DELETE", url, NULL, NULL), 400);
  CU_ASSERT_EQUAL (process_http_match (f, "DELETE", url, "7", NULL, NULL),
                   412);
  CU_ASSERT_EQUAL (get (f, "a/x").version, 1);
  CU_ASSERT_EQUAL (process_http_match (f, "DELETE", url, "1", NULL, NULL),
                   200);
  run_until (f, &watch, 1);
  CU_ASSERT (watch.code == ERROR_NONE && watch.count == 1);
  CU_ASSERT_STRING_EQUAL (watch.value, "a/x=");
  CU_ASSERT_EQUAL (get (f, "a/x").version, 0);
  CU_ASSERT_EQUAL (put (f, "a/x", 0, "again").version, 3);
  fixture_free (f);
}

/* Guards against a lost response to an update that is reported as a failure
   or, because libcurl repeated the request on a reused connection, as a
   conflict. */
static void
lost_answer_is_unknown (void)
{
  struct fixture *f = fixture_create ();
  put (f, "a/x", 0, "one");
  set_faults (f, "{\"lose_answers\":2}");
  struct outcome o = put (f, "a/x", 1, "two");
  CU_ASSERT_EQUAL (o.code, ERROR_UNKNOWN);
  o = put (f, "a/x", 2, "");
  CU_ASSERT_EQUAL (o.code, ERROR_UNKNOWN);
  o = get (f, "a/x");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 3 && o.len == 0);
  char *url = talloc_asprintf (f, "%s/standin/calls", f->url);
  char *answer = NULL;
  CU_ASSERT_EQUAL (process_http (f, "GET", url, NULL, &answer), 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\"put\":3"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\"get\":1"));
  fixture_free (f);
}

/* Guards against an outage that is reported as an unknown outcome although the
   call had no effect, and against the reverse. */
static void
outage_is_told_apart (void)
{
  struct fixture *f = fixture_create ();
  put (f, "a/x", 0, "one");
  set_faults (f, "{\"refuse\":1}");
  struct outcome o = put (f, "a/x", 1, "two");
  CU_ASSERT_EQUAL (o.code, ERROR_UNAVAILABLE);
  set_faults (f, "{\"down\":true}");
  o = get (f, "a/x");
  CU_ASSERT_EQUAL (o.code, ERROR_UNAVAILABLE);
  o = put (f, "a/x", 1, "two");
  CU_ASSERT_EQUAL (o.code, ERROR_UNKNOWN);
  set_faults (f, "{\"down\":false, \"delay_ms\":4000}");
  int64_t start = clock_now ();
  o = put (f, "a/x", 1, "three");
  CU_ASSERT_EQUAL (o.code, ERROR_UNKNOWN);
  CU_ASSERT (clock_now () - start < (CALL_MS + 500) * USEC_PER_MSEC);
  set_faults (f, "{\"delay_ms\":0}");
  o = get (f, "a/x");
  CU_ASSERT (o.code == ERROR_NONE && o.version == 2);
  process_signal (f->standin, SIGTERM);
  CU_ASSERT_EQUAL (process_wait (f->standin, 5000), 0);
  o = put (f, "a/x", 2, "four");
  CU_ASSERT_EQUAL (o.code, ERROR_UNAVAILABLE);
  talloc_free (f);
}

/* Guards against a watch that does not end when the platform fails. */
static void
outage_ends_a_watch (void)
{
  struct fixture *f = fixture_create ();
  struct outcome watch = { 0 };
  platform_watch (f->client, "a/", 0, 30000, on_changes, &watch);
  struct outcome o = get (f, "a/x");
  CU_ASSERT_EQUAL (o.code, ERROR_NONE);
  set_faults (f, "{\"down\":true}");
  run_until (f, &watch, 1);
  CU_ASSERT_EQUAL (watch.code, ERROR_UNAVAILABLE);
  fixture_free (f);
}

/* Guards against a value above 1 MB that is stored, whole or truncated. */
static void
value_size_is_limited (void)
{
  struct fixture *f = fixture_create ();
  char *value = talloc_zero_size (f, 1024 * 1024 + 2);
  memset (value, 'v', 1024 * 1024 + 1);
  struct outcome o = put (f, "a/x", 0, value);
  CU_ASSERT_EQUAL (o.code, ERROR_REFUSED);
  value[1024 * 1024] = '\0';
  o = put (f, "a/x", 0, value);
  CU_ASSERT (o.code == ERROR_NONE && o.version == 1);
  o = get (f, "a/x");
  CU_ASSERT (o.code == ERROR_NONE && o.len == 1024 * 1024);
  fixture_free (f);
}

static struct outcome
list_vms (struct fixture *f)
{
  struct outcome o = { 0 };
  platform_list_vms (f->client, on_vms, &o);
  run_until (f, &o, 1);
  return o;
}

/* Guards against a stand-in whose VM list is always current, which would hide
   code that depends on a current list. */
static void
vm_list_lags_behind (void)
{
  struct fixture *f = fixture_create ();
  char *a = talloc_asprintf (f, "%s/vms/a", f->url);
  char *b = talloc_asprintf (f, "%s/vms/b", f->url);
  process_http (f, "PUT", a, "{}", NULL);
  process_http (f, "PUT", b, "{\"leaving\":true}", NULL);
  struct outcome o = list_vms (f);
  CU_ASSERT (o.code == ERROR_NONE && o.count == 2 && o.leaving == 1);
  usleep (500000);
  set_faults (f, "{\"vms_lag_ms\":400}");
  process_http (f, "DELETE", b, NULL, NULL);
  o = list_vms (f);
  CU_ASSERT (o.count == 2 && o.leaving == 1);
  usleep (450000);
  o = list_vms (f);
  CU_ASSERT (o.count == 1 && o.leaving == 0);
  fixture_free (f);
}

static void
free_client (void *data, const struct error *err,
             const struct platform_object *object)
{
  (void)err, (void)object;
  struct fixture *f = data;
  TALLOC_FREE (f->client);
}

/* Guards against use of freed memory if a callback frees the client while
   other calls are pending. */
static void
client_can_be_freed_in_a_callback (void)
{
  struct fixture *f = fixture_create ();
  struct outcome other = { 0 };
  platform_watch (f->client, "a/", 0, 30000, on_changes, &other);
  platform_get (f->client, "a/x", free_client, f);
  platform_watch (f->client, "b/", 0, 30000, on_changes, &other);
  for (int i = 0; i < 1000 && f->client != NULL; i++)
    tevent_loop_once (f->ev);
  CU_ASSERT_PTR_NULL (f->client);
  CU_ASSERT_EQUAL (other.calls, 0);
  fixture_free (f);
}

/* Guards against a cost per waiting watch that is too high for as many watches
   as a fleet has: 1,000 watches within 32 MB, ended within 5 s. */
static void
many_watches_wait (void)
{
  struct fixture *f = fixture_create ();
  struct outcome watch = { 0 };
  put (f, "a/x", 0, "one");
  long before = process_memory_kb (f->standin);
  for (int i = 0; i < WATCHES; i++)
    platform_watch (f->client, "a/", 1, 30000, on_changes, &watch);
  char *url = talloc_asprintf (f, "%s/standin/calls", f->url);
  char *answer = talloc_strdup (f, "");
  for (int i = 0; i < 500 && strstr (answer, "\"waiting\":1000") == NULL; i++)
    {
      bool late = false;
      tevent_add_timer (f->ev, f, tevent_timeval_current_ofs (0, 10000),
                        on_alarm, &late);
      while (!late)
        tevent_loop_once (f->ev);
      process_http (f, "GET", url, NULL, &answer);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\"waiting\":1000"));
  long used = process_memory_kb (f->standin) - before;
  int64_t start = clock_now ();
  put (f, "a/x", 1, "two");
  run_until (f, &watch, WATCHES);
  printf ("(%d watches: %ld KB, woken within %lld ms) ", WATCHES, used,
          (long long)((clock_now () - start) / USEC_PER_MSEC));
  CU_ASSERT (used < 32 * 1024);
  CU_ASSERT (clock_now () - start < 5 * USEC_PER_SEC);
  fixture_free (f);
}

static const struct test_case cases[] = {
  { "updates_are_conditional", updates_are_conditional },
  { "watch_reports_changes", watch_reports_changes },
  { "first_answer_is_complete", first_answer_is_complete },
  { "watch_reports_deletions", watch_reports_deletions },
  { "lost_answer_is_unknown", lost_answer_is_unknown },
  { "outage_is_told_apart", outage_is_told_apart },
  { "outage_ends_a_watch", outage_ends_a_watch },
  { "value_size_is_limited", value_size_is_limited },
  { "vm_list_lags_behind", vm_list_lags_behind },
  { "client_can_be_freed_in_a_callback", client_can_be_freed_in_a_callback },
  { "many_watches_wait", many_watches_wait },
  { NULL, NULL },
};
TEST_SUITE (platform, cases)
