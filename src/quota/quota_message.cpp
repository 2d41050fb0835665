/** @file quota_message.cpp Encoding and decoding of messages between VMs and brokers. */
#include "quota/quota_func.h"

#include "core/json_fields.h"
#include <cmath>

namespace lhub {

/** Bound on the numbers of tokens in a message. */
static constexpr std::uint32_t MaxTokens = 1'000'000;
/** Bound on the wait in a message. */
static constexpr std::uint32_t MaxWaitTold = 60'000;
/** Bound on the length of a VM's name. */
static constexpr std::size_t MaxNameBytes = 255;

std::string encodeQuotaMessage(const quota_message& message)
{
    json::array rows;
    json::array cells;
    if (message.ask) {
        const auto& ask = *message.ask;
        for (const auto& row : ask.rows)
            rows.push_back(json::array { row.customer, row.acknowledged, row.held, row.returned, row.wanted });
        cells = { "ask", ask.vm, ask.incarnation, ask.shard, ask.sequence, ask.brokerIncarnation, ask.stamp, ask.share, std::move(rows) };
    } else if (message.answer) {
        const auto& answer = *message.answer;
        for (const auto& row : answer.rows)
            rows.push_back(json::array { row.customer, row.granted, row.waitMs, row.plenty, row.renewed });
        cells = { "answer", answer.vm, answer.incarnation, answer.to, answer.toIncarnation, answer.shard, answer.sequence, answer.stamp, std::move(rows) };
    }
    return json::serialize(json::object { { "quota", std::move(cells) } });
}

/** Reads the cells of a row one after the other and keeps whether all were valid. */
struct cell_reader {
    const json::array& cells;
    std::size_t next = 0; ///< Index of the next cell.
    bool valid = true; ///< No cell was missing, of another type or out of range.
};

/** The next cell; null when there is none. */
static const json::value& nextCell(cell_reader& reader)
{
    static const json::value None;
    if (reader.next < reader.cells.size())
        return reader.cells[reader.next++];
    reader.valid = false;
    return None;
}

template <typename Number>
static Number readNumber(cell_reader& reader, Number high)
{
    boost::system::error_code error;
    const auto& cell = nextCell(reader);
    const auto number = cell.is_number() && (std::is_floating_point_v<Number> || !cell.is_double()) ? cell.to_number<Number>(error) : Number(-1);
    const bool inRange = !error && cell.is_number() && number >= Number(0) && number <= high;
    reader.valid = reader.valid && inRange;
    return inRange ? number : Number(0);
}

static std::uint64_t readId(cell_reader& reader) { return readNumber<std::uint64_t>(reader, std::numeric_limits<std::uint64_t>::max()); }

static std::string readName(cell_reader& reader)
{
    const auto& cell = nextCell(reader);
    const bool isText = cell.is_string() && !cell.get_string().empty() && cell.get_string().size() <= MaxNameBytes;
    reader.valid = reader.valid && isText;
    return isText ? std::string(cell.get_string()) : std::string();
}

static bool readFlag(cell_reader& reader)
{
    const auto& cell = nextCell(reader);
    reader.valid = reader.valid && cell.is_bool();
    return cell.is_bool() && cell.get_bool();
}

/** Reads the last cell, a list of rows. @param readRow reads one row. */
template <typename Row, typename Read>
static std::vector<Row> readRows(cell_reader& reader, Read readRow)
{
    std::vector<Row> rows;
    const auto& cell = nextCell(reader);
    reader.valid = reader.valid && cell.is_array() && cell.get_array().size() <= MaxQuotaRows && reader.next == reader.cells.size();
    if (!reader.valid)
        return rows;
    for (const auto& item : cell.get_array()) {
        if (!item.is_array()) {
            reader.valid = false;
            return rows;
        }
        cell_reader row { item.get_array() };
        rows.push_back(readRow(row));
        reader.valid = reader.valid && row.valid && row.next == row.cells.size();
    }
    return rows;
}

static quota_ask readAsk(cell_reader& reader)
{
    quota_ask ask;
    ask.vm = readName(reader);
    ask.incarnation = readId(reader);
    ask.shard = readNumber<std::uint32_t>(reader, QuotaShards - 1);
    ask.sequence = readId(reader);
    ask.brokerIncarnation = readId(reader);
    ask.stamp = readNumber<std::int64_t>(reader, std::numeric_limits<std::int64_t>::max() / 2'000'000); // As nanoseconds it must fit, with room for sums.
    ask.share = readNumber<double>(reader, 1.0);
    ask.rows = readRows<quota_ask_row>(reader, [](cell_reader& row) {
        quota_ask_row result;
        result.customer = readId(row);
        result.acknowledged = readId(row);
        result.held = readNumber<std::uint32_t>(row, MaxTokens);
        result.returned = readNumber<std::uint32_t>(row, MaxTokens);
        result.wanted = readNumber<std::uint32_t>(row, MaxTokens);
        return result;
    });
    return ask;
}

static quota_answer readAnswer(cell_reader& reader)
{
    quota_answer answer;
    answer.vm = readName(reader);
    answer.incarnation = readId(reader);
    answer.to = readName(reader);
    answer.toIncarnation = readId(reader);
    answer.shard = readNumber<std::uint32_t>(reader, QuotaShards - 1);
    answer.sequence = readId(reader);
    answer.stamp = readNumber<std::int64_t>(reader, std::numeric_limits<std::int64_t>::max());
    answer.rows = readRows<quota_answer_row>(reader, [](cell_reader& row) {
        quota_answer_row result;
        result.customer = readId(row);
        result.granted = readNumber<std::uint32_t>(row, MaxTokens);
        result.waitMs = readNumber<std::uint32_t>(row, MaxWaitTold);
        result.plenty = readFlag(row);
        result.renewed = readFlag(row);
        return result;
    });
    return answer;
}

std::optional<quota_message> decodeQuotaMessage(std::string_view text)
{
    boost::system::error_code error;
    const auto parsed = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !parsed.is_object())
        return std::nullopt;
    const auto* cells = parsed.get_object().if_contains("quota");
    if (!cells || !cells->is_array())
        return std::nullopt;
    cell_reader reader { cells->get_array() };
    const auto kind = readName(reader);
    quota_message message;
    if (kind == "ask")
        message.ask = readAsk(reader);
    else if (kind == "answer")
        message.answer = readAnswer(reader);
    else
        return std::nullopt;
    return reader.valid ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace lhub
