/** @file
 * Parses socket addresses.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parse "IP:PORT" with an IPv4 address.
 * @return false if it is malformed. */
bool address_parse (const char *text, struct sockaddr_in *address);

#endif
