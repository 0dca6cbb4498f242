// Reading JSON, and a field of an object.
#ifndef BRASSWOOD_CONFIG_JSON_H_
#define BRASSWOOD_CONFIG_JSON_H_

#include <rapidjson/document.h>

#include <string_view>

namespace brasswood {

// All text from outside is read by this. Guards against one that is nested so deeply that reading it level
// by level would exhaust the stack.
inline void ReadJson(std::string_view json, rapidjson::Document& out) {
  out.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
}

// The field of that name; null where it is missing or null.
inline const rapidjson::Value* FindField(const rapidjson::Value& object, const char* name) {
  const auto m = object.FindMember(name);
  return m == object.MemberEnd() || m->value.IsNull() ? nullptr : &m->value;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_JSON_H_
