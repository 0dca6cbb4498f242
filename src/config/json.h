// Parses JSON and looks up the fields of objects.
#ifndef BRASSWOOD_CONFIG_JSON_H_
#define BRASSWOOD_CONFIG_JSON_H_

#include <rapidjson/document.h>

#include <string_view>

namespace brasswood {

// Parses any JSON that comes from outside the process. Guards against text that is nested so deeply that a
// recursive parser would exhaust the stack: the iterative parser uses the heap.
inline void ReadJson(std::string_view json, rapidjson::Document& out) {
  out.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
}

// The field called `name`, or nullptr if it is missing or null.
inline const rapidjson::Value* FindField(const rapidjson::Value& object, const char* name) {
  const auto m = object.FindMember(name);
  return m == object.MemberEnd() || m->value.IsNull() ? nullptr : &m->value;
}

}  // namespace brasswood

#endif  // BRASSWOOD_CONFIG_JSON_H_
