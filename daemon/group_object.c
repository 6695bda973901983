#include "daemon/group_object.h"

#include "common/json_number.h"
#include "common/json_text.h"

#include <jansson.h>

/* Names of enum failover_phase in the object. */
static const char *const phase_names[]
    = { "stable",   "agreeing",  "fencing", "waiting",
        "choosing", "promoting", "opening" };

char *
group_object_name (void *parent, const char *service)
{
  return talloc_asprintf (parent, "azurewind/groups/%s", service);
}

static const char *
endpoint_name (const struct group *g, int index)
{
  return index >= 0 && index < g->endpoint_count ? g->endpoints[index].name
                                                 : "";
}

struct bstr
group_object_render (void *parent, const struct group *g,
                     const struct group_record *r)
{
  json_t *json = json_object ();
  json_object_set_new (json, "term", json_number_new (r->term));
  json_object_set_new (json, "primary",
                       json_string (endpoint_name (g, r->primary)));
  json_object_set_new (json, "candidate",
                       json_string (endpoint_name (g, r->candidate)));
  json_object_set_new (json, "phase", json_string (phase_names[r->phase]));
  json_object_set_new (json, "driver", json_number_new (r->driver));
  json_object_set_new (json, "op", json_number_new (r->op));
  json_object_set_new (json, "branch_start",
                       json_number_new (r->branch_start));
  json_object_set_new (json, "base_term", json_number_new (r->base_term));
  json_object_set_new (json, "base_start", json_number_new (r->base_start));
  return json_text_take (parent, json, JSON_COMPACT);
}

static bool
parse_endpoint (const json_t *json, const char *name, const struct group *g,
                int *index)
{
  const char *text = json_string_value (json_object_get (json, name));
  if (text == NULL)
    return false;
  *index = INDEX_NONE;
  for (int i = 0; i < g->endpoint_count; i++)
    if (strcmp (text, g->endpoints[i].name) == 0)
      *index = i;
  return *text == '\0' || *index != INDEX_NONE;
}

static bool
parse_phase (const json_t *json, enum failover_phase *phase)
{
  const char *text = json_string_value (json_object_get (json, "phase"));
  for (unsigned i = 0;
       text != NULL && i < sizeof phase_names / sizeof phase_names[0]; i++)
    if (strcmp (text, phase_names[i]) == 0)
      {
        *phase = (enum failover_phase)i;
        return true;
      }
  return false;
}

bool
group_object_parse (const struct platform_object *object,
                    const struct group *g, struct group_record *r)
{
  json_t *json = json_loadb (object->value.start, object->value.len, 0, NULL);
  bool ok = json != NULL && json_number_get (json, "term", &r->term)
            && json_number_get (json, "driver", &r->driver)
            && json_number_get (json, "op", &r->op)
            && json_number_get (json, "branch_start", &r->branch_start)
            && json_number_get (json, "base_term", &r->base_term)
            && json_number_get (json, "base_start", &r->base_start)
            && parse_endpoint (json, "primary", g, &r->primary)
            && parse_endpoint (json, "candidate", g, &r->candidate)
            && parse_phase (json, &r->phase)
            && (r->phase != FAILOVER_STABLE || r->primary != INDEX_NONE);
  r->version = object->version;
  json_decref (json);
  return ok;
}
