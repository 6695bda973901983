#include "daemon/control.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/cell_object.h"
#include "daemon/group.h"
#include "daemon/peers.h"
#include "daemon/primary.h"
#include "daemon/transaction.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#define PART "control"
#define WATCH_TIMEOUT_MS 30000
#define WATCH_RETRY_MIN_US (200 * USEC_PER_MSEC)
#define WATCH_RETRY_MAX_US (5 * USEC_PER_SEC)
/* The platform's list of VMs lags behind; peers notice a dead VM earlier. */
#define VM_LIST_INTERVAL_US (10 * USEC_PER_SEC)

/** State of the watch on the platform. */
struct control
{
  struct daemon *daemon;
  uint64_t revision; /**< Newest revision that the watch returned. */
  int64_t retry_us;  /**< Delay of the next attempt after a failed watch. */
  bool own_vm_was_listed; /**< The VM list has contained this VM. */
};

static void start_watch (struct control *c);

static void
store_object (struct daemon *d, struct known_object *known, uint64_t version,
              struct bstr value)
{
  talloc_free ((void *)(uintptr_t)known->value.start);
  known->value = bstr_copy (d, value);
  known->version = version;
}

static void
apply_config (struct daemon *d, uint64_t version, struct bstr value)
{
  struct error err = { 0 };
  if (version <= d->config_object.version)
    return;
  json_t *json = json_loadb (value.start, value.len, 0, NULL);
  const char *toml = json_string_value (json_object_get (json, "toml"));
  struct settings *settings
      = toml != NULL
            ? settings_parse (d, CONTROL_CONFIG, bstr_from (toml), &err)
            : NULL;
  json_decref (json);
  /* The version is stored even if the value is invalid, so that the daemon
     does not fetch it again and again; the settings in force stay. */
  store_object (d, &d->config_object, version, value);
  if (settings == NULL)
    {
      log_error (PART,
                 "configuration refused version=%" PRIu64 " error=\"%s\"",
                 version, LOG_TEXT (bstr_from (err.text)));
      return;
    }
  settings->version = version;
  TALLOC_FREE (d->settings);
  d->settings = settings;
  group_apply_settings (d);
  log_info (PART, "configuration in force version=%" PRIu64, version);
}

static void
apply_keys (struct daemon *d, uint64_t version, struct bstr value)
{
  struct error err = { 0 };
  if (version <= d->keys_object.version)
    return;
  struct keys *keys = keys_parse (d, value, &err);
  store_object (d, &d->keys_object, version, value);
  if (keys == NULL)
    {
      log_error (PART, "key list refused version=%" PRIu64 " error=\"%s\"",
                 version, LOG_TEXT (bstr_from (err.text)));
      return;
    }
  TALLOC_FREE (d->keys);
  d->keys = keys;
  transaction_recheck_keys (d);
  log_info (PART, "keys in force version=%" PRIu64, version);
}

void
control_on_snapshot (struct daemon *d, const char *name, uint64_t version,
                     struct bstr value)
{
  if (strcmp (name, CONTROL_CONFIG) == 0)
    apply_config (d, version, value);
  else if (strcmp (name, CONTROL_KEYS) == 0)
    apply_keys (d, version, value);
}

/* Applies an object that the watch returned; one that does not exist (version
   0) changes nothing. */
static void
apply_object (struct control *c, const struct platform_object *object)
{
  struct daemon *d = c->daemon;
  char *cell = cell_object_name (c, d->options->cell);
  if (object->version == 0)
    goto done;
  if (bstr_equals_text (object->name, CONTROL_CONFIG))
    apply_config (d, object->version, object->value);
  else if (bstr_equals_text (object->name, CONTROL_KEYS))
    apply_keys (d, object->version, object->value);
  else if (bstr_equals_text (object->name, cell))
    peers_on_cell_object (d, object);
  else
    primary_on_object (d, object);
done:
  talloc_free (cell);
}

static void
on_retry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  start_watch (data);
}

static void
on_watch_done (void *data, const struct error *err,
               const struct platform_object *objects, int count,
               uint64_t revision)
{
  struct control *c = data;
  if (err->code != ERROR_NONE)
    {
      log_warn (PART, "watch failed error=\"%s\"",
                LOG_TEXT (bstr_from (err->text)));
      daemon_add_timer (c->daemon, c, c->retry_us, on_retry, c);
      c->retry_us = 2 * c->retry_us < WATCH_RETRY_MAX_US ? 2 * c->retry_us
                                                         : WATCH_RETRY_MAX_US;
      return;
    }
  c->retry_us = WATCH_RETRY_MIN_US;
  if (revision > c->revision)
    c->revision = revision;
  for (int i = 0; i < count; i++)
    apply_object (c, &objects[i]);
  start_watch (c);
}

static void
start_watch (struct control *c)
{
  platform_watch (c->daemon->platform, CONTROL_PREFIX, c->revision,
                  WATCH_TIMEOUT_MS, on_watch_done, c);
}

static bool
is_vm_listed (const struct platform_vm *vms, int count, const char *name)
{
  for (int i = 0; i < count; i++)
    if (bstr_equals_text (vms[i].name, name))
      return true;
  return false;
}

/* Reports members whose VM is not in the list: such a VM has ended, because
   the platform does not use a VM's name again. */
static void
report_missing_members (struct daemon *d, const struct platform_vm *vms,
                        int count)
{
  const struct cell_record *record = cell_record (d->cell);
  for (int i = 0; i < record->member_count; i++)
    if (!is_vm_listed (vms, count, record->members[i].name))
      cell_on_vm_gone (d->cell, record->members[i].name, clock_now ());
}

static void
on_vms (void *data, const struct error *err, const struct platform_vm *vms,
        int count)
{
  struct control *c = data;
  struct daemon *d = c->daemon;
  if (err->code != ERROR_NONE)
    return;
  if (is_vm_listed (vms, count, d->options->name))
    c->own_vm_was_listed = true;
  /* A list that has never contained this VM does not describe this fleet. */
  if (c->own_vm_was_listed)
    report_missing_members (d, vms, count);
  for (int i = 0; i < count; i++)
    if (vms[i].leaving && bstr_equals_text (vms[i].name, d->options->name)
        && !d->draining)
      {
        log_info (PART, "the platform lists this VM as leaving");
        daemon_drain (d);
      }
}

static void
list_vms (void *data)
{
  struct control *c = data;
  platform_list_vms (c->daemon->platform, on_vms, c);
}

struct control *
control_create (struct daemon *d, struct error *err)
{
  struct control *c = talloc_zero (d, struct control);
  c->daemon = d;
  c->retry_us = WATCH_RETRY_MIN_US;
  d->platform = platform_create (
      d,
      &(struct platform_options){
          .ev = d->ev, .url = d->options->platform, .timeout_ms = 2000 },
      err);
  if (d->platform == NULL)
    {
      talloc_free (c);
      return NULL;
    }
  daemon_add_repeating_timer (d, c, VM_LIST_INTERVAL_US, list_vms, c);
  start_watch (c);
  return c;
}
