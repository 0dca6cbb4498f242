// Addresses are numeric, "a.b.c.d:port": there is no name service where routers run.
#ifndef BRASSWOOD_PROTOCOL_ADDRESS_H_
#define BRASSWOOD_PROTOCOL_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "protocol/parse.h"

namespace brasswood {

// Empty if `text` is not such an address.
inline std::optional<sockaddr_in> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  const auto port = ParseUnsigned(text.substr(colon + 1));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (!port || *port > 65535) return std::nullopt;
  address.sin_port = htons(static_cast<std::uint16_t>(*port));
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_ADDRESS_H_
