#include "tests/site_fleet.h"

#include "tests/soak/proxy.h"

#include <stdlib.h>

double
sessiond_site_metric (struct sessiond_site *s, int i, const char *name)
{
  char *text = sessiond_site_metrics (s, i);
  const char *at = text != NULL ? strstr (text, name) : NULL;
  double value = at != NULL ? atof (at + strlen (name)) : -1;
  talloc_free (text);
  return value;
}

double
sessiond_site_most_owned (struct sessiond_site *s, int *daemon)
{
  double most = 0;
  *daemon = -1;
  for (int i = 0; i < s->daemon_count; i++)
    {
      double owned = sessiond_site_metric (s, i, "azurewind_owned_services ");
      if (owned > most)
        {
          most = owned;
          *daemon = i;
        }
    }
  return most;
}

bool
sessiond_site_add_bus_proxies (struct sessiond_site *s, void *data)
{
  struct proxy **proxy = data;
  *proxy = proxy_start (s);
  int first = sessiond_site_reserve_ports (s, s->daemon_count);
  if (*proxy == NULL || first == 0)
    return false;
  for (int i = 0; i < s->daemon_count; i++)
    {
      s->proxy_ports[i].bus = first + i;
      if (proxy_add_link (*proxy, first + i, sessiond_site_port (s, i) + 3)
          != i)
        return false;
    }
  return true;
}
