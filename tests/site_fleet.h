/** @file
 * What tests ask of the session daemons of a site, and proxies between them.
 */
#ifndef TESTS_SITE_FLEET_H
#define TESTS_SITE_FLEET_H

#include "tests/relay_site.h"

/** @return the value of a metric of daemon @p i, -1 if there is none.
 * @param name its name and labels, and a blank. */
double sessiond_site_metric (struct sessiond_site *s, int i, const char *name);
/** @param daemon set to the one that owns most services, -1: none is owned.
 * @return how many it owns. */
double sessiond_site_most_owned (struct sessiond_site *s, int *daemon);
/** Give each daemon a proxy through which the others reach it; the number of
 * its link is that of the daemon.  For sessiond_site_options::prepare.
 * @param data address of the proxy process, a struct proxy *. */
bool sessiond_site_add_bus_proxies (struct sessiond_site *s, void *data);

#endif
