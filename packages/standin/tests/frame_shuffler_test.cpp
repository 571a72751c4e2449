#include "frame_shuffler.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

std::string Frame(const std::string& body) {
  return std::string("\0\0\0", 3) + static_cast<char>(body.size()) + body;
}

TEST_CASE("frames pass unchanged without a fault, however they are cut") {
  FrameShuffler shuffler;
  const std::string bytes = Frame("hello") + Frame("a") + Frame("b");
  std::string out;
  for (const char byte : bytes) {
    out += shuffler.Feed(std::string(1, byte), [] { return false; });
  }
  REQUIRE(out == bytes);
}

TEST_CASE("a frame is swapped with the next one, but not the greeting") {
  FrameShuffler shuffler;
  int draws = 0;
  const auto first_only = [&] { return draws++ == 0; };
  REQUIRE(shuffler.Feed(Frame("hello") + Frame("a") + Frame("b"), first_only) ==
          Frame("hello") + Frame("b") + Frame("a"));
}

TEST_CASE("a frame is duplicated") {
  FrameShuffler shuffler;
  int draws = 0;
  const auto second_only = [&] { return draws++ == 1; };
  REQUIRE(shuffler.Feed(Frame("hello") + Frame("a"), second_only) ==
          Frame("hello") + Frame("a") + Frame("a"));
}

}  // namespace
}  // namespace jackdawrack
