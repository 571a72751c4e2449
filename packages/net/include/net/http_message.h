#pragma once

#include <string>
#include <vector>

namespace jackdawrack {

/// One HTTP header field.
struct HttpHeader {
  std::string m_name;
  std::string m_value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// A request as handlers see it.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// Value of a header, or empty; names are compared without case.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// A reply as handlers give it.
struct HttpReply {
  unsigned m_status = 200;
  std::string m_content_type = "application/json";
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// Value of a header, or empty; names are compared without case.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

}  // namespace jackdawrack
