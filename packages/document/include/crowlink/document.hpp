#pragma once

// The document module: reads the operators' document, which is JSON with
// comments, checks it against its schema and the rules across fields, writes it
// back in one canonical form, and compares two documents.
//
//   document_error.hpp       one broken rule: path, value found, rule
//   document_errors.hpp      all the rules that a document breaks
//   document_reader.hpp      text to system_document
//   document_writer.hpp      system_document to canonical text
//   document_schema.hpp      the JSON schema
//   strict_json.hpp          JSON text to a value, as the reader parses it
//   document_change.hpp      one place where two documents differ
//   document_difference.hpp  all the places where two documents differ

#include "crowlink/document/document_change.hpp"
#include "crowlink/document/document_difference.hpp"
#include "crowlink/document/document_error.hpp"
#include "crowlink/document/document_errors.hpp"
#include "crowlink/document/document_reader.hpp"
#include "crowlink/document/document_schema.hpp"
#include "crowlink/document/document_writer.hpp"
#include "crowlink/document/strict_json.hpp"
