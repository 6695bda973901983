#include "session/options.h"

#include "common/file.h"

#define MAX_SETTINGS_BYTES 65536
/* A shorter bound leaves no time to learn of an evacuation from another
   daemon and to end transactions. */
#define MIN_EVACUATION_MS 2500
/* Maximum length of an address, in bytes. */
#define MAX_ADDRESS 64

/* Bytes held for callers, in MB, if the memory of the VM is not known. */
#define DEFAULT_CLIENT_MEMORY_MB 1024

#define OPT(member, name_, type_, ...)                                        \
  {                                                                           \
    .name = name_, .offset = offsetof (struct sessiond_options, member),      \
    .type = type_, __VA_ARGS__                                                \
  }

static const struct option_spec table[] = {
  OPT (name, "name", OPTION_NAME, .min = 1, .max = OPTION_MAX_NAME,
       .flags = OPTION_REQUIRED, .help = "Name of this VM in the fleet."),
  OPT (failure_domain, "failure_domain", OPTION_NAME, .min = 1,
       .max = OPTION_MAX_NAME, .flags = OPTION_REQUIRED,
       .help = "Failure domain of this VM."),
  OPT (listen, "listen", OPTION_LISTEN, .min = 1, .max = MAX_ADDRESS,
       .flags = OPTION_REQUIRED, .help = "Address for callers' sessions."),
  OPT (ready_listen, "ready_listen", OPTION_LISTEN, .min = 1,
       .max = MAX_ADDRESS, .flags = OPTION_REQUIRED,
       .help = "Address of the readiness probe."),
  OPT (metrics_listen, "metrics_listen", OPTION_LISTEN, .min = 1,
       .max = MAX_ADDRESS, .flags = OPTION_REQUIRED,
       .help = "Address of metrics and status."),
  OPT (bus, "bus", OPTION_TEXT, .min = 1, .max = MAX_ADDRESS,
       .flags = OPTION_REQUIRED, .pattern = "^tcp://[0-9.]+:[0-9]+$",
       .form = "tcp://IP:PORT", .help = "Address for the other daemons."),
  OPT (bus_advertise, "bus_advertise", OPTION_TEXT, .max = MAX_ADDRESS,
       .text = "", .flags = OPTION_MAY_BE_EMPTY,
       .pattern = "^(tcp://[0-9.]+:[0-9]+)?$", .form = "tcp://IP:PORT",
       .help = "Address of the bus as other daemons reach it, if it differs."),
  OPT (store, "store", OPTION_LISTEN, .min = 1, .max = MAX_ADDRESS,
       .flags = OPTION_REQUIRED,
       .help = "Address of the platform's object store."),
  OPT (duties, "duties", OPTION_LISTEN, .min = 1, .max = MAX_ADDRESS,
       .flags = OPTION_REQUIRED,
       .help = "Address of the platform's promotion service."),
  OPT (log_level, "log_level", OPTION_CHOICE, .min = 1, .max = 10,
       .text = "info", .pattern = "error|warn|info|debug",
       .help = "Least important log line that is written."),
  OPT (grace_ms, "grace_ms", OPTION_INT, .min = 100, .max = 600000,
       .number = 6000, .unit = "ms",
       .help = "Time between SIGTERM and the forced end of the process."),
  OPT (drain_ms, "drain_ms", OPTION_INT, .min = 2000, .max = 600000,
       .number = 7000, .unit = "ms",
       .help = "Time after which an endpoint that leaves gets no work."),
  OPT (evacuation_ms, "evacuation_ms", OPTION_INT, .min = 0, .max = 600000,
       .unit = "ms",
       .help = "Time in which an evacuated failure domain is left; 0: "
               "evacuations are not read."),
  OPT (capacity, "capacity", OPTION_REAL, .min = 0.001, .max = 1000,
       .number = 1, .unit = "cores",
       .help = "Processor time of this VM; large VMs own services first."),
  OPT (bootstrap, "bootstrap", OPTION_BOOL,
       .help = "The whole fleet starts for the first time."),
  OPT (max_sessions, "max_sessions", OPTION_INT, .min = 1, .max = 1000000,
       .number = 3500, .help = "Most sessions of callers at a time."),
  OPT (entry_wait, "entry_wait", OPTION_BOOL,
       .help = "Statements wait for the next owner of their service, by "
               "priority, and learn when it is expected."),
  OPT (rate_schedule, "rate_schedule", OPTION_BOOL,
       .help = "Requests wait for a token of their organisation's rate."),
  OPT (hedged_reads, "hedged_reads", OPTION_BOOL,
       .help = "Reads with an overdue answer also go to a second endpoint."),
  OPT (memory_mb, "memory_mb", OPTION_INT, .min = 0, .max = 16777216,
       .number = 0, .unit = "MB",
       .help = "Memory of this VM; 0: not bounded by it."),
  OPT (client_memory_mb, "client_memory_mb", OPTION_INT, .min = 0,
       .max = 16777216, .number = 0, .unit = "MB",
       .help = "Most bytes held for callers; 0: a third of memory_mb, or 1024 "
               "without memory_mb."),
  OPT (session_memory_kb, "session_memory_kb", OPTION_INT, .min = 64,
       .max = 1048576, .number = 10240, .unit = "KB",
       .help = "Most bytes held for one session."),
  OPT (half_message_ms, "half_message_ms", OPTION_INT, .min = 100,
       .max = 3600000, .number = 60000, .unit = "ms",
       .help = "Time for the rest of a message that has begun."),
  OPT (learned_capacity, "learned_capacity", OPTION_BOOL,
       .help = "Learn how many statements each endpoint runs well."),
  { .name = NULL },
};

const struct option_spec *
sessiond_options_table (void)
{
  return table;
}

const char *
sessiond_options_bus_address (const struct sessiond_options *o)
{
  return o->bus_advertise[0] != '\0' ? o->bus_advertise : o->bus;
}

size_t
sessiond_options_client_bytes (const struct sessiond_options *o)
{
  int mb = o->client_memory_mb > 0 ? o->client_memory_mb
           : o->memory_mb > 0      ? o->memory_mb / 3
                                   : DEFAULT_CLIENT_MEMORY_MB;
  return (size_t)(mb > 0 ? mb : 1) << 20;
}

struct sessiond_options *
sessiond_options_load (void *parent, const char *path, struct error *err)
{
  struct sessiond_options *options
      = talloc_zero (parent, struct sessiond_options);
  size_t len = 0;
  char *text = file_read (options, path, MAX_SETTINGS_BYTES, &len, err);
  struct toml_node *root = NULL;
  const struct option_spec *missing;
  option_set_defaults (table, options, options);
  if (text == NULL)
    goto fail;
  root = toml_reader_parse (options, path, (struct bstr){ text, len }, err);
  if (root == NULL
      || !option_read (table, NULL, options, options, path, root, err))
    goto fail;
  missing = option_missing (table, options);
  if (missing != NULL)
    {
      error_set (err, ERROR_INVALID, "%s: %s is missing", path, missing->name);
      goto fail;
    }
  if (options->evacuation_ms != 0
      && options->evacuation_ms < MIN_EVACUATION_MS)
    {
      error_set (err, ERROR_INVALID,
                 "%s: evacuation_ms must be 0 or at least %d", path,
                 MIN_EVACUATION_MS);
      goto fail;
    }
  return options;
fail:
  talloc_free (options);
  return NULL;
}
