// Discovery's JSON and the paths of its calls.
#ifndef BRASSWOOD_PROTOCOL_DISCOVERY_H_
#define BRASSWOOD_PROTOCOL_DISCOVERY_H_

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <string_view>

#include "config/limits.h"
#include "config/settings.h"
#include "core/server_list.h"

namespace brasswood {

// A server list, whole or not at all: with anything in it that cannot be right the result is empty and
// `why` says what. Unknown fields are passed over.
std::optional<ServerList> ReadServerList(const rapidjson::Value& in, const Names& names,
                                         const Limits& limits, std::string& why);
std::optional<ServerList> ReadServerList(std::string_view json, const Names& names, const Limits& limits,
                                         std::string& why);

// Of a list that stops half way: the entries that came whole, and which version and kind of list they
// belong to. Nothing where the version does not stand before the entries, or anything that came is bad. It
// is no list: what it does not name may be listed all the same.
std::optional<ServerList> ReadListPrefix(std::string_view json, const Names& names, const Limits& limits);

// The whole list, or, with a version to go on from, a watch that may wait.
std::string ListPath(std::optional<std::int64_t> since, Duration wait);

}  // namespace brasswood

#endif  // BRASSWOOD_PROTOCOL_DISCOVERY_H_
