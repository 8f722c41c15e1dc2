#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// One header field as it stood in the message.
struct HttpField
{
    std::string name;
    std::string value;
};

/// The start line and header fields of a request or an answer. Of the start line only the members of its kind are set.
struct HttpHead
{
    std::string method; ///< Requests.
    std::string path; ///< Requests: path with query.
    int status = 0; ///< Answers.
    int version = 11; ///< 10 or 11.
    std::vector<HttpField> fields;

    /// The first value of a field, compared without regard to case; empty if there is none.
    std::string_view find(std::string_view name) const;

    bool has(std::string_view name) const;

    /// Whether a list of tokens, such as Connection, contains `token`.
    bool hasToken(std::string_view name, std::string_view token) const;
};

/// Compares header names and tokens.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether a field concerns one connection only and must not be passed on; also the framing fields.
bool isHopByHop(const HttpHead &head, std::string_view name);

/// Appends "name: value" and the end of the line.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// The usual words for a status.
std::string_view statusText(int status);

} // namespace Lovageloft
