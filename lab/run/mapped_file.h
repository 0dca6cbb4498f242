// A file that the laboratory shares with a router's process: both map it.
#ifndef BRASSWOOD_LAB_RUN_MAPPED_FILE_H_
#define BRASSWOOD_LAB_RUN_MAPPED_FILE_H_

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace brasswood::lab {

// Creates a zeroed file of the size of a T, which must be valid if all its bytes are 0, and maps it. Throws
// std::runtime_error if that fails. The caller unmaps it.
template <class T>
T* MapShared(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) throw std::runtime_error("cannot create " + path);
  const bool sized = ::ftruncate(fd, sizeof(T)) == 0;
  void* const at =
      sized ? ::mmap(nullptr, sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0) : MAP_FAILED;
  ::close(fd);
  if (at == MAP_FAILED) throw std::runtime_error("cannot map " + path);
  return static_cast<T*>(at);
}

}  // namespace brasswood::lab

#endif  // BRASSWOOD_LAB_RUN_MAPPED_FILE_H_
