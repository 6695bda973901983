#include "common/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

bool
address_parse (const char *text, struct sockaddr_in *address)
{
  char host[64];
  int port;
  if (sscanf (text, "%63[^:]:%d", host, &port) != 2 || port < 0
      || port > 65535)
    return false;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1;
}
