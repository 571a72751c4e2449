#pragma once

#include <cstdint>
#include <cstdlib>
#include <new>

/// Replaces the global `operator new` by one that fails on demand; included by
/// one file of a program only.

namespace jackdawrack {

/// Allocations of this thread until one fails; negative if none is to fail.
inline thread_local int t_allocations_until_failure = -1;

/// Allocations of this thread of more bytes fail.
inline thread_local std::size_t t_max_allocation = SIZE_MAX;

}  // namespace jackdawrack

[[gnu::noinline]] void* operator new(std::size_t size) {
  int& until_failure = jackdawrack::t_allocations_until_failure;
  const bool is_failure = until_failure >= 0 && until_failure-- == 0;
  void* memory = nullptr;
  if (!is_failure && size <= jackdawrack::t_max_allocation) {
    memory = std::malloc(size == 0 ? 1 : size);
  }
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}
