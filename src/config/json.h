// Reading a field of a JSON object.
#ifndef BRASSWOOD_CONFIG_JSON_H_
#define BRASSWOOD_CONFIG_JSON_H_

#include <rapidjson/document.h>

namespace brasswood {

// The field of that name; null where it is missing or null.
inline const rapidjson::Value* FindField(const rapidjson::Value& object, const char* name) {
  const auto m = object.FindMember(name);
  return m == object.MemberEnd() || m->value.IsNull() ? nullptr : &m->value;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_JSON_H_
