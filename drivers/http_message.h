#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Lovageloft
{

/// A header field as in the message.
struct HttpField
{
    std::string name;
    std::string value;
};

/// The start line and header fields of a request or response. Only the members of the respective start line are set.
struct HttpHead
{
    std::string method; ///< Requests.
    std::string path; ///< Requests: path and query.
    int status = 0; ///< Responses.
    int version = 11; ///< 10 or 11.
    std::vector<HttpField> fields;

    /// The value of the first field with this name, ignoring case; empty if there is none.
    std::string_view find(std::string_view name) const;

    bool has(std::string_view name) const;

    /// Whether a field with a list of tokens, such as Connection, contains `token`.
    bool hasToken(std::string_view name, std::string_view token) const;
};

/// Compares field names or tokens; ignores the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Whether a field applies to a single connection and must not be forwarded. Framing fields also count.
bool isHopByHop(const HttpHead &head, std::string_view name);

/// Appends "name: value" and a line end.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Appends what precedes the bytes of a chunk in the chunked transfer coding. A line end follows them.
void appendChunkHead(std::string &out, std::size_t size);

/// Appends bytes, which must not be empty, as one chunk of the chunked transfer coding.
void appendChunk(std::string &out, std::string_view bytes);

/// The reason phrase of a status code.
std::string_view statusText(int status);

} // namespace Lovageloft
