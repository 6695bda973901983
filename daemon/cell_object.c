#include "daemon/cell_object.h"

#include "common/json_number.h"
#include "common/json_text.h"

#include <jansson.h>

char *
cell_object_name (void *parent, const char *cell)
{
  return talloc_asprintf (parent, "azurewind/cells/%s", cell);
}

static json_t *
render_members (const struct cell_member *members, int count)
{
  json_t *list = json_array ();
  for (int i = 0; i < count; i++)
    {
      json_t *m = json_object ();
      json_object_set_new (m, "id", json_number_new (members[i].id));
      json_object_set_new (m, "join_op", json_number_new (members[i].join_op));
      json_object_set_new (m, "name", json_string (members[i].name));
      json_object_set_new (m, "address", json_string (members[i].address));
      json_array_append_new (list, m);
    }
  return list;
}

struct bstr
cell_object_render (void *parent, const struct cell_record *r)
{
  json_t *json = json_object ();
  json_object_set_new (json, "op", json_number_new (r->op));
  json_object_set_new (json, "coordinator", json_number_new (r->coordinator));
  json_object_set_new (json, "previous_settled",
                       json_boolean (r->previous_settled));
  json_object_set_new (json, "members",
                       render_members (r->members, r->member_count));
  json_object_set_new (json, "previous",
                       render_members (r->previous, r->previous_count));
  return json_text_take (parent, json, JSON_COMPACT);
}

static bool
parse_text (const json_t *json, const char *name, char *text, size_t size)
{
  const char *value = json_string_value (json_object_get (json, name));
  if (value == NULL || strlen (value) >= size)
    return false;
  memcpy (text, value, strlen (value) + 1);
  return true;
}

static bool
parse_members (const json_t *list, struct cell_member *members, int *count)
{
  size_t size = json_array_size (list);
  if (!json_is_array (list) || size > CELL_MAX_MEMBERS)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      const json_t *m = json_array_get (list, i);
      if (!json_number_get (m, "id", &members[i].id)
          || !json_number_get (m, "join_op", &members[i].join_op)
          || !parse_text (m, "name", members[i].name, sizeof members[i].name)
          || !parse_text (m, "address", members[i].address,
                          sizeof members[i].address))
        return false;
    }
  *count = (int)size;
  return true;
}

bool
cell_object_parse (struct bstr value, uint64_t version, struct cell_record *r)
{
  json_t *json = json_loadb (value.start, value.len, 0, NULL);
  memset (r, 0, sizeof *r);
  bool ok = json != NULL && json_number_get (json, "op", &r->op)
            && json_number_get (json, "coordinator", &r->coordinator)
            && parse_members (json_object_get (json, "members"), r->members,
                              &r->member_count)
            && parse_members (json_object_get (json, "previous"), r->previous,
                              &r->previous_count);
  r->version = version;
  r->previous_settled
      = json_is_true (json_object_get (json, "previous_settled"));
  json_decref (json);
  return ok;
}
