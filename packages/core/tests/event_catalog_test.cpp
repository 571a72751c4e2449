#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "core/event.h"

namespace jackdawrack {
namespace {

std::string ReadCatalog() {
  std::ifstream stream(JACKDAWRACK_SOURCE_DIR "/docs/EVENTS.md");
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::size_t CountRows(const std::string& catalog) {
  std::size_t rows = 0;
  std::istringstream lines(catalog);
  for (std::string line; std::getline(lines, line);) {
    const bool is_row = line.size() > 2 && line[0] == '|' &&
                        std::isdigit(static_cast<unsigned char>(line[2])) != 0;
    rows += is_row ? 1 : 0;
  }
  return rows;
}

TEST_CASE("docs/EVENTS.md lists every event and no other") {
  const std::string catalog = ReadCatalog();
  for (const EventDescription& event : AllEvents()) {
    const std::string row = fmt::format(
        "| {} | {} |", static_cast<int>(event.m_id), event.m_name.substr(1));
    INFO(row);
    REQUIRE(catalog.find(row) != std::string::npos);
  }
  REQUIRE(CountRows(catalog) == AllEvents().size());
}

TEST_CASE("events are numbered in order") {
  int last = 0;
  for (const EventDescription& event : AllEvents()) {
    REQUIRE(static_cast<int>(event.m_id) > last);
    last = static_cast<int>(event.m_id);
  }
}

}  // namespace
}  // namespace jackdawrack
