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

/// An HTTP request, independent of the HTTP library.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// Returns the value of the first header with this name, compared
  /// case-insensitively, or an empty string if there is none.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// An HTTP reply, independent of the HTTP library.
struct HttpReply {
  unsigned m_status = 200;
  std::string m_content_type = "application/json";
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// Returns the value of the first header with this name, compared
  /// case-insensitively, or an empty string if there is none.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

}  // namespace jackdawrack
