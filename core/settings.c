#include "core/settings.h"

#include "common/toml_reader.h"

#include <stdarg.h>
#include <stdio.h>

#define VALUE_OFFSET(member) offsetof (struct settings_values, member)
#define SERVICE_OFFSET(member) offsetof (struct settings_service, member)
#define ENDPOINT_OFFSET(member) offsetof (struct settings_endpoint, member)

static const struct option_spec value_options[] = {
  { .name = "rate",
    .type = OPTION_REAL,
    .offset = VALUE_OFFSET (rate),
    .min = 0,
    .max = 1e6,
    .number = 100,
    .unit = "requests/s",
    .help = "Requests that one organisation may send per second, counted "
            "over all VMs together." },
  { .name = "burst",
    .type = OPTION_REAL,
    .offset = VALUE_OFFSET (burst),
    .min = 1,
    .max = 1e6,
    .number = 200,
    .unit = "requests",
    .help = "Requests that one organisation may send at once after a quiet "
            "time." },
  { .name = "weight",
    .type = OPTION_REAL,
    .offset = VALUE_OFFSET (weight),
    .min = 0.01,
    .max = 100,
    .number = 1,
    .help = "Share of the organisation when requests wait in the queue." },
  { .name = "deadline_ms",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (deadline_ms),
    .min = 1,
    .max = 600000,
    .number = 5000,
    .unit = "ms",
    .help = "Time limit of a request that names none." },
  { .name = "max_rows",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (max_rows),
    .min = 1,
    .max = 1e6,
    .number = 10000,
    .unit = "rows",
    .help = "Largest number of rows in one answer." },
  { .name = "enabled",
    .type = OPTION_BOOL,
    .offset = VALUE_OFFSET (enabled),
    .number = 1,
    .help = "If false, all requests are refused." },
  { .name = "open_reads",
    .type = OPTION_BOOL,
    .offset = VALUE_OFFSET (open_reads),
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "If true, reads without a key are allowed; they run as "
            "open_organisation." },
  { .name = "confirm_replicas",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (confirm_replicas),
    .min = 0,
    .max = GROUP_MAX_ENDPOINTS - 1,
    .number = 1,
    .unit = "replicas",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Replicas that must hold a write before it is acknowledged." },
  { .name = "connections",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (connections),
    .min = 1,
    .max = 10000,
    .number = 20,
    .unit = "connections",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Connections to each endpoint, over all VMs together." },
  { .name = "lease_ms",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (lease_ms),
    .min = 100,
    .max = 60000,
    .number = 1000,
    .unit = "ms",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Time after a poll during which writes may be acknowledged." },
  { .name = "suspect_ms",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (suspect_ms),
    .min = 100,
    .max = 60000,
    .number = 1000,
    .unit = "ms",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Silence of the primary towards VMs and replicas after which it "
            "is replaced." },
  { .name = "unreachable_ms",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (unreachable_ms),
    .min = 100,
    .max = 60000,
    .number = 3000,
    .unit = "ms",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Silence of the primary towards VMs alone after which it is "
            "replaced." },
  { .name = "catch_up_ms",
    .type = OPTION_INT64,
    .offset = VALUE_OFFSET (catch_up_ms),
    .min = 0,
    .max = 60000,
    .number = 50,
    .unit = "ms",
    .flags = SETTINGS_SERVICE_ONLY,
    .help = "Longest wait for a replica before a read goes to the primary." },
  { 0 },
};

/* PostgreSQL truncates identifiers after 63 bytes. */
#define MAX_IDENTIFIER_BYTES 63

static const struct option_spec service_options[] = {
  { .name = "database",
    .type = OPTION_TEXT,
    .offset = SERVICE_OFFSET (database),
    .min = 1,
    .max = MAX_IDENTIFIER_BYTES,
    .help = "Name of the database; without it, the name of the service." },
  { .name = "user",
    .type = OPTION_TEXT,
    .offset = SERVICE_OFFSET (user),
    .min = 1,
    .max = MAX_IDENTIFIER_BYTES,
    .text = "azurewind",
    .help = "Database user of the connections." },
  { .name = "cell",
    .type = OPTION_NAME,
    .offset = SERVICE_OFFSET (cell),
    .text = "cell-1",
    .help = "Cell whose daemons serve it and hold its budgets." },
  { .name = "open_organisation",
    .type = OPTION_NAME,
    .offset = SERVICE_OFFSET (open_organisation),
    .help = "Organisation that reads without a key run for." },
  { 0 },
};

static const struct option_spec endpoint_options[] = {
  { .name = "host",
    .type = OPTION_ADDRESS,
    .offset = ENDPOINT_OFFSET (host),
    .flags = OPTION_REQUIRED,
    .help = "IP address of the database server." },
  { .name = "port",
    .type = OPTION_INT,
    .offset = ENDPOINT_OFFSET (port),
    .min = 1,
    .max = 65535,
    .number = 5432,
    .help = "TCP port of the database server." },
  { .name = "place",
    .type = OPTION_NAME,
    .offset = ENDPOINT_OFFSET (place),
    .text = "",
    .flags = OPTION_MAY_BE_EMPTY,
    .help = "Place where the server stands." },
  { .name = "leaving",
    .type = OPTION_BOOL,
    .offset = ENDPOINT_OFFSET (leaving),
    .help = "If true, the endpoint gets no new work." },
  { 0 },
};

/* Names of the tables at the top level and in a service. */
static const char *const root_tables[] = { "defaults", "services", NULL };
static const char *const service_tables[]
    = { "endpoints", "organisations", NULL };
/* Names that a service accepts besides those of its values, for the nearest
   name in an error: first those of service_tables, then its options. */
static const char *const service_names[]
    = { "endpoints",         "organisations", "database", "user",
        "open_organisation", "cell",          NULL };

const struct option_spec *
settings_value_options (void)
{
  return value_options;
}

const struct option_spec *
settings_service_options (void)
{
  return service_options;
}

const struct option_spec *
settings_endpoint_options (void)
{
  return endpoint_options;
}

/* State of one call of settings_parse. */
struct parse_state
{
  const char *path;
  struct settings *settings;
  struct error *err;
};

static bool set_parse_error (struct parse_state *p, int line,
                             const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Sets the error, with the file and the line.  Returns false. */
static bool
set_parse_error (struct parse_state *p, int line, const char *format, ...)
{
  char text[sizeof p->err->text];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return error_set (p->err, ERROR_INVALID, "%s:%d: %s", p->path, line, text);
}

/* Whether the node is a table; sets the error if not. */
static bool
check_table (struct parse_state *p, const struct toml_node *node)
{
  if (node->kind == TOML_TABLE)
    return true;
  return set_parse_error (p, node->line, "\"%s\" is %s, it must be a table",
                          option_printable (p->settings, node->key),
                          toml_reader_kind_name (node->kind));
}

/* Whether the node is a table whose key is a valid name; sets the error if
   not.  @p what says in the error what the table describes. */
static bool
check_name (struct parse_state *p, const struct toml_node *node,
            const char *what)
{
  if (!check_table (p, node))
    return false;
  if (option_is_name (node->key))
    return true;
  return set_parse_error (
      p, node->line,
      "the name \"%s\" of %s must have 1 to %d characters from a-z, "
      "0-9 and -",
      option_printable (p->settings, node->key), what, OPTION_MAX_NAME);
}

/* Returns the line for an error about several values: the line that sets the
   named value in this level or, if it is inherited, the line of the level. */
static int
line_of_value (const struct toml_node *level, const char *name)
{
  const struct toml_node *child = toml_reader_find (level, bstr_from (name));
  return child != NULL ? child->line : level->line;
}

static bool
read_endpoint (struct parse_state *p, struct settings_service *service,
               const struct toml_node *node)
{
  struct settings_endpoint *e = &service->endpoints[service->endpoint_count];
  if (!check_name (p, node, "an endpoint"))
    return false;
  e->name = bstr_to_text (p->settings, node->key);
  option_set_defaults (endpoint_options, p->settings, e);
  if (!option_read (endpoint_options, NULL, p->settings, e, p->path, node,
                    p->err))
    return false;
  const struct option_spec *missing = option_missing (endpoint_options, e);
  if (missing != NULL)
    return set_parse_error (p, node->line, "the endpoint %s has no %s",
                            e->name, missing->name);
  for (int i = 0; i < service->endpoint_count; i++)
    if (strcmp (service->endpoints[i].host, e->host) == 0
        && service->endpoints[i].port == e->port)
      return set_parse_error (
          p, line_of_value (node, "host"),
          "the endpoints %s and %s have the same host and port",
          service->endpoints[i].name, e->name);
  service->endpoint_count++;
  return true;
}

static bool
read_endpoints (struct parse_state *p, struct settings_service *service,
                const struct toml_node *node)
{
  const struct toml_node *table
      = toml_reader_find (node, bstr_from ("endpoints"));
  if (table == NULL)
    return set_parse_error (
        p, node->line, "the service %s has no endpoint, it needs at least one",
        service->name);
  if (!check_table (p, table))
    return false;
  if (table->child_count < 1)
    return set_parse_error (
        p, table->line,
        "the service %s has no endpoint, it needs at least one",
        service->name);
  if (table->child_count > GROUP_MAX_ENDPOINTS)
    return set_parse_error (
        p, table->children[GROUP_MAX_ENDPOINTS].line,
        "the service %s has %d endpoints, at most %d are allowed",
        service->name, table->child_count, GROUP_MAX_ENDPOINTS);
  service->endpoints = talloc_zero_array (
      p->settings, struct settings_endpoint, (unsigned)table->child_count);
  for (int i = 0; i < table->child_count; i++)
    if (!read_endpoint (p, service, &table->children[i]))
      return false;
  return true;
}

static bool
read_organisation (struct parse_state *p, struct settings_service *service,
                   const struct toml_node *node)
{
  struct settings_organisation *o
      = &service->organisations[service->organisation_count];
  if (!check_name (p, node, "an organisation"))
    return false;
  o->name = bstr_to_text (p->settings, node->key);
  o->values = service->values;
  for (int i = 0; i < node->child_count; i++)
    {
      const struct option_spec *spec
          = option_find (value_options, node->children[i].key);
      if (spec != NULL && (spec->flags & SETTINGS_SERVICE_ONLY))
        return set_parse_error (
            p, node->children[i].line,
            "%s belongs to the service, an organisation cannot set "
            "it",
            spec->name);
    }
  if (!option_read (value_options, NULL, p->settings, &o->values, p->path,
                    node, p->err))
    return false;
  service->organisation_count++;
  return true;
}

static bool
read_organisations (struct parse_state *p, struct settings_service *service,
                    const struct toml_node *node)
{
  const struct toml_node *table
      = toml_reader_find (node, bstr_from ("organisations"));
  if (table == NULL)
    return true;
  if (!check_table (p, table))
    return false;
  service->organisations
      = talloc_zero_array (p->settings, struct settings_organisation,
                           (unsigned)table->child_count + 1);
  for (int i = 0; i < table->child_count; i++)
    if (!read_organisation (p, service, &table->children[i]))
      return false;
  return true;
}

/* Checks the rules between several values of one service. */
static bool
check_service (struct parse_state *p, const struct settings_service *s,
               const struct toml_node *node)
{
  const struct settings_values *v = &s->values;
  if (v->confirm_replicas > s->endpoint_count - 1)
    return set_parse_error (
        p, line_of_value (node, "confirm_replicas"),
        "confirm_replicas is %d, but the service %s has only %d "
        "endpoints besides the primary",
        (int)v->confirm_replicas, s->name, s->endpoint_count - 1);
  if (v->suspect_ms > v->unreachable_ms)
    return set_parse_error (
        p, line_of_value (node, "suspect_ms"),
        "suspect_ms is %d, it must not be above unreachable_ms, "
        "which is %d",
        (int)v->suspect_ms, (int)v->unreachable_ms);
  if (v->open_reads && s->open_organisation == NULL)
    return set_parse_error (p, line_of_value (node, "open_reads"),
                            "open_reads is true, but the service %s has no "
                            "open_organisation",
                            s->name);
  if (s->open_organisation != NULL
      && settings_find_organisation (s, bstr_from (s->open_organisation))
             == NULL)
    return set_parse_error (
        p, line_of_value (node, "open_organisation"),
        "open_organisation is \"%s\", the service %s has no "
        "organisation of that name",
        s->open_organisation, s->name);
  return true;
}

static bool
is_service_table (struct bstr name)
{
  return bstr_equals_text (name, service_tables[0])
         || bstr_equals_text (name, service_tables[1]);
}

/* Reads the options of a service.  They come from two option tables; each name
   is read by the table that has it. */
static bool
read_service_options (struct parse_state *p, struct settings_service *s,
                      const struct toml_node *node)
{
  for (int i = 0; i < node->child_count; i++)
    {
      const struct toml_node *child = &node->children[i];
      struct toml_node only = { .kind = TOML_TABLE,
                                .children = &node->children[i],
                                .child_count = 1 };
      if (is_service_table (child->key))
        continue;
      bool ok = option_find (service_options, child->key) != NULL
                    ? option_read (service_options, NULL, p->settings, s,
                                   p->path, &only, p->err)
                    : option_read (value_options, service_names, p->settings,
                                   &s->values, p->path, &only, p->err);
      if (!ok)
        return false;
    }
  return true;
}

static bool
read_service (struct parse_state *p, const struct settings_values *defaults,
              const struct toml_node *node)
{
  struct settings_service *s
      = &p->settings->services[p->settings->service_count];
  if (!check_name (p, node, "a service"))
    return false;
  option_set_defaults (service_options, p->settings, s);
  s->name = bstr_to_text (p->settings, node->key);
  s->database = s->name;
  s->values = *defaults;
  if (!read_service_options (p, s, node) || !read_endpoints (p, s, node)
      || !read_organisations (p, s, node) || !check_service (p, s, node))
    return false;
  p->settings->service_count++;
  return true;
}

static bool
read_services (struct parse_state *p, const struct settings_values *defaults,
               const struct toml_node *root)
{
  const struct toml_node *table
      = toml_reader_find (root, bstr_from ("services"));
  if (table != NULL && !check_table (p, table))
    return false;
  if (table == NULL || table->child_count == 0)
    return set_parse_error (p, table != NULL ? table->line : 1,
                            "no service is defined, at least one is needed");
  p->settings->services = talloc_zero_array (
      p->settings, struct settings_service, (unsigned)table->child_count);
  for (int i = 0; i < table->child_count; i++)
    if (!read_service (p, defaults, &table->children[i]))
      return false;
  return true;
}

static bool
read_root (struct parse_state *p, const struct toml_node *root)
{
  static const struct option_spec nothing[] = { { 0 } };
  struct settings_values defaults;
  option_set_defaults (value_options, p->settings, &defaults);
  if (!option_read (nothing, root_tables, p->settings, NULL, p->path, root,
                    p->err))
    return false;
  const struct toml_node *table
      = toml_reader_find (root, bstr_from (root_tables[0]));
  if (table != NULL
      && (!check_table (p, table)
          || !option_read (value_options, NULL, p->settings, &defaults,
                           p->path, table, p->err)))
    return false;
  return read_services (p, &defaults, root);
}

struct settings *
settings_parse (void *parent, const char *path, struct bstr text,
                struct error *err)
{
  struct error unused = { 0 };
  struct parse_state p = { .path = path, .err = err != NULL ? err : &unused };
  void *scratch = talloc_new (NULL);
  const struct toml_node *root
      = toml_reader_parse (scratch, path, text, p.err);
  if (root == NULL)
    goto done;
  p.settings = talloc_zero (parent, struct settings);
  if (!read_root (&p, root))
    {
      talloc_free (p.settings);
      p.settings = NULL;
    }
done:
  talloc_free (scratch);
  return p.settings;
}

const struct settings_service *
settings_find_service (const struct settings *s, struct bstr name)
{
  for (int i = 0; s != NULL && i < s->service_count; i++)
    if (bstr_equals_text (name, s->services[i].name))
      return &s->services[i];
  return NULL;
}

const struct settings_organisation *
settings_find_organisation (const struct settings_service *service,
                            struct bstr name)
{
  for (int i = 0; service != NULL && i < service->organisation_count; i++)
    if (bstr_equals_text (name, service->organisations[i].name))
      return &service->organisations[i];
  return NULL;
}

/* Finds the service and the organisation that a query names, and checks that
   its option exists.
   @param o set to NULL if the query is about the service. */
static bool
find_level (const struct settings *s, const char *service,
            const char *organisation, const char *name,
            const struct settings_service **found_service,
            const struct settings_organisation **o, struct error *err)
{
  bool ok = false;
  void *scratch = talloc_new (NULL);
  const char *shown = option_printable (scratch, bstr_from (name));
  *found_service = settings_find_service (s, bstr_from (service));
  *o = NULL;
  if (*found_service == NULL)
    {
      error_set (err, ERROR_NOT_FOUND, "there is no service \"%s\"",
                 option_printable (scratch, bstr_from (service)));
      goto done;
    }
  if (organisation != NULL && organisation[0] != '\0')
    {
      *o = settings_find_organisation (*found_service,
                                       bstr_from (organisation));
      if (*o == NULL)
        {
          error_set (err, ERROR_NOT_FOUND,
                     "the service %s has no organisation \"%s\"", service,
                     option_printable (scratch, bstr_from (organisation)));
          goto done;
        }
    }
  if (option_find (value_options, bstr_from (name)) == NULL
      && option_find (service_options, bstr_from (name)) == NULL)
    {
      /* A query names an option, so the two tables are skipped. */
      const char *nearest = option_nearest (value_options, service_names + 2,
                                            bstr_from (name));
      error_set (err, ERROR_NOT_FOUND, "\"%s\" is unknown%s%s%s", shown,
                 nearest != NULL ? "; the nearest name is \"" : "",
                 nearest != NULL ? nearest : "", nearest != NULL ? "\"" : "");
      goto done;
    }
  ok = true;
done:
  talloc_free (scratch);
  return ok;
}

/* Whether a level, which may be NULL, sets the value itself. */
static bool
level_sets_value (const struct toml_node *level, const char *name)
{
  return toml_reader_find (level, bstr_from (name)) != NULL;
}

char *
settings_explain (void *parent, struct bstr text, const char *service,
                  const char *organisation, const char *name,
                  struct error *err)
{
  char *level = NULL;
  void *scratch = talloc_new (NULL);
  const struct settings_service *s;
  const struct settings_organisation *o;
  const struct settings *tree = settings_parse (scratch, "config", text, err);
  if (tree == NULL
      || !find_level (tree, service, organisation, name, &s, &o, err))
    goto done;
  const struct toml_node *root
      = toml_reader_parse (scratch, "config", text, err);
  const struct toml_node *in_service = toml_reader_find (
      toml_reader_find (root, bstr_from ("services")), bstr_from (service));
  const struct toml_node *in_organisation
      = o == NULL
            ? NULL
            : toml_reader_find (
                toml_reader_find (in_service, bstr_from ("organisations")),
                bstr_from (organisation));
  if (level_sets_value (in_organisation, name))
    level = talloc_asprintf (parent, "services.%s.organisations.%s", service,
                             organisation);
  else if (level_sets_value (in_service, name))
    level = talloc_asprintf (parent, "services.%s", service);
  else if (level_sets_value (toml_reader_find (root, bstr_from ("defaults")),
                             name))
    level = talloc_strdup (parent, "defaults");
  else
    level = talloc_strdup (parent, "built-in");
done:
  talloc_free (scratch);
  return level;
}

char *
settings_value (void *parent, const struct settings *s, const char *service,
                const char *organisation, const char *name, struct error *err)
{
  const struct settings_service *found_service;
  const struct settings_organisation *o;
  if (!find_level (s, service, organisation, name, &found_service, &o, err))
    return NULL;
  const struct option_spec *spec
      = option_find (service_options, bstr_from (name));
  if (spec != NULL)
    return option_value (spec, parent, found_service);
  return option_value (option_find (value_options, bstr_from (name)), parent,
                       o != NULL ? &o->values : &found_service->values);
}

/* Appends one line for each option whose value differs between from and to.
   Options with a flag in skip are left out. */
static char *
diff_options (char *out, const struct option_spec *table, unsigned skip,
              const char *level, const void *from, const void *to)
{
  for (const struct option_spec *o = table; o->name != NULL; o++)
    if (!(o->flags & skip) && !option_equals (o, from, to))
      {
        void *scratch = talloc_new (NULL);
        out = talloc_asprintf_append (out, "%s.%s: %s -> %s\n", level, o->name,
                                      option_value (o, scratch, from),
                                      option_value (o, scratch, to));
        talloc_free (scratch);
      }
  return out;
}

static const struct settings_endpoint *
find_endpoint (const struct settings_service *s, const char *name)
{
  for (int i = 0; s != NULL && i < s->endpoint_count; i++)
    if (strcmp (s->endpoints[i].name, name) == 0)
      return &s->endpoints[i];
  return NULL;
}

/* Appends the differences between the endpoints of two services.  The order
   matters, so a new order of the same names is a difference too. */
static char *
diff_endpoints (char *out, void *scratch, const struct settings_service *from,
                const struct settings_service *to)
{
  bool same_order = from->endpoint_count == to->endpoint_count;
  for (int i = 0; i < from->endpoint_count; i++)
    {
      const struct settings_endpoint *e = &from->endpoints[i];
      const struct settings_endpoint *other = find_endpoint (to, e->name);
      const char *level = talloc_asprintf (scratch, "services.%s.endpoints.%s",
                                           from->name, e->name);
      same_order = same_order && other == &to->endpoints[i];
      if (other == NULL)
        out = talloc_asprintf_append (out, "- %s\n", level);
      else
        out = diff_options (out, endpoint_options, 0, level, e, other);
    }
  bool same_names = from->endpoint_count == to->endpoint_count;
  for (int i = 0; i < to->endpoint_count; i++)
    if (find_endpoint (from, to->endpoints[i].name) == NULL)
      {
        out = talloc_asprintf_append (out, "+ services.%s.endpoints.%s\n",
                                      to->name, to->endpoints[i].name);
        same_names = false;
      }
  if (same_names && !same_order)
    out = talloc_asprintf_append (out, "services.%s.endpoints: new order\n",
                                  to->name);
  return out;
}

/* Appends the differences between the organisations of two services. */
static char *
diff_organisations (char *out, void *scratch,
                    const struct settings_service *from,
                    const struct settings_service *to)
{
  for (int i = 0; i < from->organisation_count; i++)
    {
      const struct settings_organisation *o = &from->organisations[i];
      const struct settings_organisation *other
          = settings_find_organisation (to, bstr_from (o->name));
      const char *level = talloc_asprintf (
          scratch, "services.%s.organisations.%s", from->name, o->name);
      if (other == NULL)
        out = talloc_asprintf_append (out, "- %s\n", level);
      else
        out = diff_options (out, value_options, SETTINGS_SERVICE_ONLY, level,
                            &o->values, &other->values);
    }
  for (int i = 0; i < to->organisation_count; i++)
    if (settings_find_organisation (from,
                                    bstr_from (to->organisations[i].name))
        == NULL)
      out = talloc_asprintf_append (out, "+ services.%s.organisations.%s\n",
                                    to->name, to->organisations[i].name);
  return out;
}

char *
settings_diff (void *parent, const struct settings *from,
               const struct settings *to)
{
  char *out = talloc_strdup (parent, "");
  void *scratch = talloc_new (NULL);
  for (int i = 0; from != NULL && i < from->service_count; i++)
    {
      const struct settings_service *s = &from->services[i];
      const struct settings_service *other
          = settings_find_service (to, bstr_from (s->name));
      const char *level = talloc_asprintf (scratch, "services.%s", s->name);
      if (other == NULL)
        {
          out = talloc_asprintf_append (out, "- %s\n", level);
          continue;
        }
      out = diff_options (out, service_options, 0, level, s, other);
      out = diff_options (out, value_options, 0, level, &s->values,
                          &other->values);
      out = diff_endpoints (out, scratch, s, other);
      out = diff_organisations (out, scratch, s, other);
    }
  for (int i = 0; to != NULL && i < to->service_count; i++)
    if (settings_find_service (from, bstr_from (to->services[i].name)) == NULL)
      out = talloc_asprintf_append (out, "+ services.%s\n",
                                    to->services[i].name);
  talloc_free (scratch);
  return out;
}
