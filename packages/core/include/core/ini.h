#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdawrack {

/// One fault in an INI text, with the place where it stands.
struct IniProblem {
  std::string m_file;
  std::string m_section;
  std::string m_key;
  std::string m_message;

  /// "FILE [SECTION] KEY: MESSAGE", for a person.
  [[nodiscard]] std::string ToText() const;

  friend bool operator==(const IniProblem&, const IniProblem&) = default;
};

/// One `key = value` line.
struct IniEntry {
  std::string m_key;
  std::string m_value;
};

/// One section; "[shard p-1]" has type "shard" and name "p-1".
struct IniSection {
  std::string m_type;
  std::string m_name;
  std::vector<IniEntry> m_entries;

  /// The section's heading without brackets.
  [[nodiscard]] std::string Heading() const;
};

/// Least and greatest accepted value of a number, both included.
struct NumberBounds {
  std::uint64_t m_least = 0;
  std::uint64_t m_greatest = UINT64_MAX;
};

/// Least and greatest accepted value of a decimal number, both included.
struct DecimalBounds {
  double m_least = 0;
  double m_greatest = 1;
};

/// Reads the keys of one section, collecting problems instead of stopping.
class IniSectionReader final {
 public:
  /// `problems` has to outlive the reader.
  IniSectionReader(std::string file,
                   const IniSection& section,
                   std::vector<IniProblem>& problems);

  /// A text of at least one character; a problem if missing without fallback.
  std::string Text(std::string_view key,
                   std::optional<std::string> fallback = std::nullopt);

  /// A whole number within `bounds`.
  std::uint64_t Number(std::string_view key,
                       NumberBounds bounds,
                       std::optional<std::uint64_t> fallback = std::nullopt);

  /// A decimal number, with or without a fraction, within `bounds`.
  double Decimal(std::string_view key,
                 DecimalBounds bounds,
                 std::optional<double> fallback = std::nullopt);

  /// A decimal fraction from 0 to 1.
  double Ratio(std::string_view key,
               std::optional<double> fallback = std::nullopt);

  /// "yes" or "no".
  bool Flag(std::string_view key, std::optional<bool> fallback = std::nullopt);

  /// Words separated by spaces; empty if the key is missing.
  std::vector<std::string> Words(std::string_view key);

  /// Adds a problem about `key` found by the caller's own checks.
  void Refuse(std::string_view key, std::string message);

  /// Reports every key that was never asked for; called last.
  void RefuseUnknownKeys();

 private:
  const std::string* Find(std::string_view key);

  const std::string m_file;
  const IniSection& m_section;
  std::vector<IniProblem>& m_problems;
  std::vector<std::string> m_known;
};

/// A parsed INI text: its sections in order.
class IniDocument final {
 public:
  /// Parses `text`; faults of syntax are added to `problems`.
  static IniDocument Parse(std::string file,
                           const std::string& text,
                           std::vector<IniProblem>& problems);

  /// The name used in problems.
  [[nodiscard]] const std::string& File() const { return m_file; }

  [[nodiscard]] const std::vector<IniSection>& Sections() const {
    return m_sections;
  }

  /// The only section of this type; a problem, and an empty one, if missing.
  const IniSection& Require(std::string_view type,
                            std::vector<IniProblem>& problems) const;

  /// The first section of this type, or an empty one; none is required, and an
  /// empty section counts as missing to the parser.
  [[nodiscard]] const IniSection& FindOrEmpty(std::string_view type) const;

  /// All sections of this type.
  [[nodiscard]] std::vector<const IniSection*> All(std::string_view type) const;

  /// Reports every section of a type in `named` that has no name, and every
  /// other section that has one.
  void CheckNames(std::initializer_list<std::string_view> named,
                  std::vector<IniProblem>& problems) const;

  /// Reports every section whose type is not in `accepted`.
  void RefuseUnknownSections(std::initializer_list<std::string_view> accepted,
                             std::vector<IniProblem>& problems) const;

 private:
  void RefuseEmptyNamedSections(const std::string& text,
                                std::vector<IniProblem>& problems) const;

  std::string m_file;
  std::vector<IniSection> m_sections;
};

/// All problems, one a line.
[[nodiscard]] std::string JoinProblems(const std::vector<IniProblem>& problems);

}  // namespace jackdawrack
