#include "net/http_message.h"

#include <boost/beast/core/string.hpp>

namespace jackdawrack {
namespace {

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name) {
  for (const HttpHeader& header : headers) {
    if (boost::beast::iequals(header.m_name, name)) {
      return header.m_value;
    }
  }
  return {};
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return FindHeader(m_headers, name);
}

std::string HttpReply::Header(const std::string& name) const {
  return FindHeader(m_headers, name);
}

}  // namespace jackdawrack
