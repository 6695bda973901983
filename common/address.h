/** @file
 * Parses socket addresses.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/** Parse "IP:PORT" with an IPv4 address and a port from 0 to 65535, in decimal
 * digits without anything after them.
 * @return false if it is malformed. */
bool address_parse (const char *text, struct sockaddr_in *address);

#endif
