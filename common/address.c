#include "common/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PORT_DIGITS 5
#define MAX_PORT 65535

bool
address_parse (const char *text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];
  size_t len = strcspn (text, ":");
  if (text[len] != ':' || len >= sizeof host)
    return false;
  const char *port = text + len + 1;
  size_t digits = strspn (port, "0123456789");
  /* Also bounds what strtoul converts. */
  if (digits == 0 || digits > MAX_PORT_DIGITS || port[digits] != '\0')
    return false;
  unsigned long number = strtoul (port, NULL, 10);
  if (number > MAX_PORT)
    return false;
  memcpy (host, text, len);
  host[len] = '\0';
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)number);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}
