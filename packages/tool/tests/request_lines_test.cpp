#include "tool/request_lines.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace jackdawrack {
namespace {

TEST_CASE("the lines of one request come in order of time, from all files") {
  const auto folder = std::filesystem::temp_directory_path();
  const std::string first = (folder / "jackdawrack-lines-1.log").string();
  const std::string second = (folder / "jackdawrack-lines-2.log").string();
  std::ofstream(first)
      << "2026-12-04T10:00:02Z a info 4005 X request=1f p=1\n"
      << "2026-12-04T10:00:03Z a info 4005 X request=1f2 p=1\n";
  std::ofstream(second) << "2026-12-04T10:00:01Z b info 4007 X request=1f p=2\n"
                        << "2026-12-04T10:00:01Z b info 1001 Started\n";
  const auto lines = FindRequestLines({first, second}, "1f");
  REQUIRE(lines.size() == 2);
  REQUIRE(lines[0].find(" b info 4007 ") != std::string::npos);
  REQUIRE(lines[1].find(" a info 4005 ") != std::string::npos);
  std::filesystem::remove(first);
  std::filesystem::remove(second);
}

}  // namespace
}  // namespace jackdawrack
