#include "standin_program/WireReplies.h"

#include "standin_program/WireMessage.h"

namespace parsleypaddle {

namespace {

    constexpr size_t textType = 25;
    constexpr size_t variableSize = 0xFFFF;
    constexpr size_t noModifier = 0xFFFFFFFF;
    constexpr size_t nullLength = 0xFFFFFFFF;

    void writeEmpty(std::string& buf, char type)
    {
        const WireMessageWriter message(buf, type);
    }

    void writeParameter(std::string& buf, std::string_view name, std::string_view value)
    {
        WireMessageWriter(buf, 'S').text(name).text(value);
    }

    void writeDescription(std::string& buf, const Rows& rows)
    {
        if (rows.columns.empty()) {
            writeEmpty(buf, 'n');
            return;
        }
        WireMessageWriter message(buf, 'T');
        message.int16(rows.columns.size());
        for (const auto& it : rows.columns)
            message.text(it).int32(0).int16(0).int32(textType).int16(variableSize).int32(noModifier).int16(0);
    }

    void writeRow(std::string& buf, const std::vector<SqlValue>& values)
    {
        WireMessageWriter message(buf, 'D');
        message.int16(values.size());
        for (const auto& it : values) {
            if (it)
                message.int32(it->size()).bytes(*it);
            else
                message.int32(nullLength);
        }
    }

    void writeExecution(std::string& buf, const StatementResult& result)
    {
        for (const auto& it : result.rows.values)
            writeRow(buf, it);
        WireMessageWriter(buf, 'C').text(result.tag);
    }

}

void writeGreeting(std::string& buf)
{
    WireMessageWriter(buf, 'R').int32(0);
    writeParameter(buf, "server_version", "15.0");
    writeParameter(buf, "client_encoding", "UTF8");
    writeParameter(buf, "standard_conforming_strings", "on");
    WireMessageWriter(buf, 'K').int32(0).int32(0);
    writeReadyForQuery(buf, WireTransaction::Idle);
}

void writeError(std::string& buf, std::string_view severity, std::string_view sqlState, std::string_view message)
{
    WireMessageWriter writer(buf, 'E');
    writer.bytes("S").text(severity).bytes("V").text(severity);
    writer.bytes("C").text(sqlState).bytes("M").text(message).bytes(std::string_view("\0", 1));
}

void writeReply(std::string& buf, PipelineRequest request, const StatementResult& result)
{
    switch (request) {
    case PipelineRequest::Parse:
        writeEmpty(buf, '1');
        break;
    case PipelineRequest::Bind:
        writeEmpty(buf, '2');
        break;
    case PipelineRequest::Describe:
        writeDescription(buf, result.rows);
        break;
    case PipelineRequest::Execute:
        writeExecution(buf, result);
        break;
    case PipelineRequest::Close:
        writeEmpty(buf, '3');
        break;
    }
}

void writeReadyForQuery(std::string& buf, WireTransaction transaction)
{
    const char state = static_cast<char>(transaction);
    WireMessageWriter(buf, 'Z').bytes(std::string_view(&state, 1));
}

}
