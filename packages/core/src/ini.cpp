#include "core/ini.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <sstream>

namespace jackdawrack {
namespace {

constexpr const char* kBlanks = " \t\r\n\v\f";

const IniSection& EmptySection() {
  static const IniSection kEmpty;
  return kEmpty;
}

IniSection MakeSection(const std::string& heading,
                       const boost::property_tree::ptree& tree) {
  IniSection section;
  const std::size_t space = heading.find(' ');
  section.m_type = heading.substr(0, space);
  if (space != std::string::npos) {
    section.m_name = heading.substr(space + 1);
  }
  for (const auto& [key, value] : tree) {
    section.m_entries.push_back(IniEntry{key, value.data()});
  }
  return section;
}

// The heading that a line opens, as the parser reads it.
std::optional<std::string> HeadingOf(const std::string& line) {
  const std::size_t begin = line.find_first_not_of(kBlanks);
  if (begin == std::string::npos || line[begin] != '[') {
    return std::nullopt;
  }
  const std::size_t end = line.find(']', begin);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string heading = line.substr(begin + 1, end - begin - 1);
  heading.erase(0, heading.find_first_not_of(kBlanks));
  heading.erase(heading.find_last_not_of(kBlanks) + 1);
  return heading;
}

// The number that the whole of `text` is, if it lies within the bounds.
template <typename Number, typename Bounds>
std::optional<Number> ParseWithin(const std::string* text,
                                  const Bounds& bounds) {
  if (text == nullptr) {
    return std::nullopt;
  }
  Number number{};
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  const bool is_accepted = parsed.ec == std::errc() && parsed.ptr == end &&
                           number >= bounds.m_least &&
                           number <= bounds.m_greatest;
  return is_accepted ? std::optional(number) : std::nullopt;
}

}  // namespace

std::string IniProblem::ToText() const {
  std::string text = m_file;
  if (!m_section.empty()) {
    text += fmt::format(" [{}]", m_section);
  }
  if (!m_key.empty()) {
    text += " " + m_key;
  }
  return text + ": " + m_message;
}

std::string IniSection::Heading() const {
  return m_name.empty() ? m_type : m_type + " " + m_name;
}

IniSectionReader::IniSectionReader(std::string file,
                                   const IniSection& section,
                                   std::vector<IniProblem>& problems)
    : m_file(std::move(file)), m_section(section), m_problems(problems) {}

const std::string* IniSectionReader::Find(std::string_view key) {
  m_known.emplace_back(key);
  for (const IniEntry& entry : m_section.m_entries) {
    if (entry.m_key == key && !entry.m_value.empty()) {
      return &entry.m_value;
    }
  }
  return nullptr;
}

std::string IniSectionReader::Text(std::string_view key,
                                   std::optional<std::string> fallback) {
  if (const std::string* value = Find(key)) {
    return *value;
  }
  if (!fallback) {
    Refuse(key, "missing; a text is required");
    return {};
  }
  return *fallback;
}

std::uint64_t IniSectionReader::Number(std::string_view key,
                                       NumberBounds bounds,
                                       std::optional<std::uint64_t> fallback) {
  const std::string* value = Find(key);
  if (value == nullptr && fallback) {
    return *fallback;
  }
  if (const auto number = ParseWithin<std::uint64_t>(value, bounds)) {
    return *number;
  }
  Refuse(key, fmt::format("{}; accepted is a whole number from {} to {}",
                          value ? "bad value '" + *value + "'" : "missing",
                          bounds.m_least, bounds.m_greatest));
  return bounds.m_least;
}

double IniSectionReader::Decimal(std::string_view key,
                                 DecimalBounds bounds,
                                 std::optional<double> fallback) {
  const std::string* value = Find(key);
  if (value == nullptr && fallback) {
    return *fallback;
  }
  if (const auto number = ParseWithin<double>(value, bounds)) {
    return *number;
  }
  Refuse(key, fmt::format("{}; accepted is a number from {} to {}",
                          value ? "bad value '" + *value + "'" : "missing",
                          bounds.m_least, bounds.m_greatest));
  return bounds.m_least;
}

double IniSectionReader::Ratio(std::string_view key,
                               std::optional<double> fallback) {
  return Decimal(key, DecimalBounds{0, 1}, fallback);
}

bool IniSectionReader::Flag(std::string_view key,
                            std::optional<bool> fallback) {
  const std::string* value = Find(key);
  if (value == nullptr && fallback) {
    return *fallback;
  }
  if (value != nullptr && (*value == "yes" || *value == "no")) {
    return *value == "yes";
  }
  Refuse(key, fmt::format("{}; accepted is yes or no",
                          value ? "bad value '" + *value + "'" : "missing"));
  return false;
}

std::vector<std::string> IniSectionReader::Words(std::string_view key) {
  std::vector<std::string> words;
  if (const std::string* value = Find(key)) {
    std::istringstream stream(*value);
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
  }
  return words;
}

void IniSectionReader::Refuse(std::string_view key, std::string message) {
  m_problems.push_back(IniProblem{m_file, m_section.Heading(), std::string(key),
                                  std::move(message)});
}

void IniSectionReader::RefuseUnknownKeys() {
  for (const IniEntry& entry : m_section.m_entries) {
    if (std::find(m_known.begin(), m_known.end(), entry.m_key) ==
        m_known.end()) {
      Refuse(entry.m_key, fmt::format("unknown key; accepted are {}",
                                      fmt::join(m_known, ", ")));
    }
  }
}

IniDocument IniDocument::Parse(std::string file,
                               const std::string& text,
                               std::vector<IniProblem>& problems) {
  IniDocument document;
  document.m_file = std::move(file);
  boost::property_tree::ptree tree;
  std::istringstream stream(text);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    problems.push_back(
        IniProblem{document.m_file, "", "",
                   fmt::format("line {}: {}", error.line(), error.message())});
    return document;
  }
  for (const auto& [heading, child] : tree) {
    // Refuse a key that stands before the first section
    if (child.empty() && !child.data().empty()) {
      problems.push_back(IniProblem{document.m_file, "", heading,
                                    "key outside of any section"});
      continue;
    }
    document.m_sections.push_back(MakeSection(heading, child));
  }
  document.RefuseEmptyNamedSections(text, problems);
  return document;
}

// The parser drops sections without keys; the text still shows them.
void IniDocument::RefuseEmptyNamedSections(
    const std::string& text,
    std::vector<IniProblem>& problems) const {
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    const std::optional<std::string> heading = HeadingOf(line);
    if (!heading || heading->find(' ') == std::string::npos) {
      continue;
    }
    const bool has_keys = std::any_of(m_sections.begin(), m_sections.end(),
                                      [&](const IniSection& section) {
                                        return section.Heading() == *heading;
                                      });
    if (!has_keys) {
      problems.push_back(
          IniProblem{m_file, *heading, "", "the section has no keys"});
    }
  }
}

void IniDocument::CheckNames(std::initializer_list<std::string_view> named,
                             std::vector<IniProblem>& problems) const {
  for (const IniSection& section : m_sections) {
    const bool needs_name =
        std::find(named.begin(), named.end(), section.m_type) != named.end();
    if (needs_name == section.m_name.empty()) {
      problems.push_back(
          IniProblem{m_file, section.Heading(), "",
                     needs_name ? "the section needs a name after its type"
                                : "the section takes no name after its type"});
    }
  }
}

const IniSection& IniDocument::Require(
    std::string_view type,
    std::vector<IniProblem>& problems) const {
  const std::vector<const IniSection*> found = All(type);
  if (found.empty()) {
    problems.push_back(
        IniProblem{m_file, std::string(type), "", "missing section"});
    return EmptySection();
  }
  return *found.front();
}

const IniSection& IniDocument::FindOrEmpty(std::string_view type) const {
  const std::vector<const IniSection*> found = All(type);
  return found.empty() ? EmptySection() : *found.front();
}

std::vector<const IniSection*> IniDocument::All(std::string_view type) const {
  std::vector<const IniSection*> found;
  for (const IniSection& section : m_sections) {
    if (section.m_type == type) {
      found.push_back(&section);
    }
  }
  return found;
}

void IniDocument::RefuseUnknownSections(
    std::initializer_list<std::string_view> accepted,
    std::vector<IniProblem>& problems) const {
  for (const IniSection& section : m_sections) {
    if (std::find(accepted.begin(), accepted.end(), section.m_type) ==
        accepted.end()) {
      problems.push_back(IniProblem{
          m_file, section.Heading(), "",
          fmt::format("unknown section; accepted are {}",
                      fmt::join(accepted.begin(), accepted.end(), ", "))});
    }
  }
}

std::string JoinProblems(const std::vector<IniProblem>& problems) {
  std::string text;
  for (const IniProblem& problem : problems) {
    text += problem.ToText() + "\n";
  }
  return text;
}

}  // namespace jackdawrack
