// Keys by the rank of their popularity.
#ifndef BRASSWOOD_LAB_LOAD_KEYS_H_
#define BRASSWOOD_LAB_LOAD_KEYS_H_

#include <string>

namespace brasswood::lab {

inline std::string KeyName(long long rank) { return "pkg-" + std::to_string(rank); }

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_LOAD_KEYS_H_
