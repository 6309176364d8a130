/*
 * Connections between our processes, an entry and an agent or a gateway and
 * a keeper: messages (part 1), their encoding (part 2), and the link, which
 * checks the order of messages and multiplexes streams (part 3).
 */
#ifndef KCC_CONNECTION_H
#define KCC_CONNECTION_H

#include <uthash.h>

#include "kcc_types.h"

/* ---- Part 1: messages --------------------------------------------------- */

#define KC_PROTOCOL_VERSION 1

/* Largest encoded message in bytes, without its length prefix. */
#define KC_FRAME_BYTES_MAX (4u * 1024 * 1024)

/* Message types, with the side that sends them. */
typedef enum KcMsgType {
    KC_MSG_HELLO = 0,    /* either: first message on a connection */
    KC_MSG_PROPOSE,      /* entry: opens a stream with a new attempt */
    KC_MSG_RESUME,       /* entry: opens a stream for an earlier attempt */
    KC_MSG_CANCEL,       /* entry: cancels the attempt */
    KC_MSG_CREDIT,       /* entry: bytes up to an offset were consumed */
    KC_MSG_ADMIT,        /* agent: the attempt is queued */
    KC_MSG_REFUSE,       /* agent: the attempt did not run; ends it */
    KC_MSG_STARTED,      /* agent: the backend server's answer has begun */
    KC_MSG_DATA,         /* agent: a piece of the answer */
    KC_MSG_END,          /* agent: ends the attempt */
    KC_MSG_LEAVING,      /* agent: no new work is accepted; the entry echoes
                          * it and opens no more streams on the link */
    KC_MSG_HEAD_REQUEST, /* either: requests the head of the document in
                          * force, see KcHead */
    KC_MSG_HEAD,         /* either: the head as JSON */
    KC_MSG_PART_REQUEST, /* either: requests a part of the document by hash */
    KC_MSG_PART,         /* either: a part */
    KC_MSG_PING,         /* entry: checks that the agent is running; gateway
                          * or keeper: names a generation */
    KC_MSG_PONG,         /* agent: answers a ping */
    KC_MSG_WANT,         /* gateway: load request for an adapter */
    KC_MSG_USED,         /* gateway: its uses of an adapter */
    KC_MSG_HELD,         /* keeper: state of an adapter or base model */
    KC_MSG_LOST,         /* gateway: an attempt at this instance of the engine
                          * was lost; has the engine ended? */
    KC_MSG_ENDED,        /* keeper: it has, on its own */
    KC_MSG_SUSPECT,      /* either: news of a part of prompts */
    KC_MSG_USAGE,        /* gateway: what customers use and ask for there */
    KC_MSG_TOTALS,       /* keeper: the same of all gateways, in answer */
    KC_MSG_COUNT
} KcMsgType;

/* Largest amount of bytes, tokens, ms or us in a message; one with more is not
 * valid.  Sums of many, and ms in us, fit into 64 bits. */
#define KC_MSG_AMOUNT_MAX ((uint64_t)1 << 48)

/* Borrowed bytes. */
typedef struct KcBytes {
    const char *data;
    size_t size;
} KcBytes;

/* Load of an agent, part of its ADMIT, REFUSE and END messages. */
typedef struct KcAgentLoad {
    uint32_t queued;        /* attempts waiting at the agent */
    uint32_t running;       /* attempts at the backend server */
    uint32_t pending_loads; /* adapter loads in progress or waiting */
    /* The attempt's adapter is loaded or being loaded. */
    bool is_adapter_resident;
} KcAgentLoad;

typedef struct KcMsgHello {
    char name[KC_NAME_MAX];    /* of the process */
    uint64_t incarnation;      /* random number, new at each process start */
    uint32_t protocol_version; /* KC_PROTOCOL_VERSION */
} KcMsgHello;

typedef struct KcMsgPropose {
    KcRequestId request;
    uint32_t attempt; /* 1 for the request's first attempt */
    char service[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for a plain service */
    uint32_t version;
    char customer[KC_NAME_MAX];
    uint32_t priority;     /* 0 to KC_PRIORITY_MAX, higher is more urgent */
    uint64_t time_left_us; /* time left for the answer to begin */
    bool repeatable;       /* the request may run more than once */
    uint64_t offset;       /* bytes of the answer already delivered */
    uint64_t tokens;       /* tokens of the answer already delivered */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBytes body;
    KcBytes delivered_text; /* text already delivered, for the engine to
                               continue */
} KcMsgPropose;

typedef struct KcMsgResume {
    KcRequestId request;
    uint32_t attempt;
    uint64_t offset; /* bytes of the answer already received */
} KcMsgResume;

typedef struct KcMsgCredit {
    uint64_t offset;   /* within the whole answer, so repeats are harmless */
    bool end_received; /* END or REFUSE was received: the agent may free the
                          attempt */
} KcMsgCredit;

typedef struct KcMsgAdmit {
    KcAgentLoad load;
} KcMsgAdmit;

typedef struct KcMsgRefuse {
    int32_t code;            /* KcErrorCode */
    uint64_t retry_after_ms; /* 0: no hint */
    KcAgentLoad load;
} KcMsgRefuse;

typedef struct KcMsgStarted {
    char adapter[KC_NAME_MAX]; /* as named in the backend server's answer */
    uint32_t version;
    uint32_t http_status; /* HTTP status of a plain service's answer */
    char content_type[KC_NAME_MAX];
} KcMsgStarted;

typedef struct KcMsgData {
    uint64_t offset; /* of the first byte, within the whole answer */
    uint64_t tokens; /* tokens of the answer including these bytes */
    KcBytes bytes;
} KcMsgData;

typedef struct KcMsgEnd {
    int32_t code;           /* 0: the answer is complete; else KcErrorCode */
    bool reached_backend;   /* the attempt reached the backend server */
    uint64_t offset;        /* size of the whole answer in bytes */
    uint64_t tokens;        /* tokens of the whole answer */
    char finish_reason[32]; /* an engine's finish reason, "" when none */
    KcAgentLoad load;
} KcMsgEnd;

typedef struct KcMsgHead {
    KcBytes json; /* as KcHead_Encode() writes it */
} KcMsgHead;

typedef struct KcMsgPart {
    char hash[40]; /* content hash as text, see KcHash_Compute() */
    KcBytes bytes; /* empty in a request for the part */
} KcMsgPart;

/* A load request. */
typedef struct KcMsgWant {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t version_min; /* lowest that is sufficient; 0: any */
    uint32_t priority;    /* 0 is the most urgent */
} KcMsgWant;

/* A gateway's uses of an adapter at the keeper's engine. */
typedef struct KcMsgUsed {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t uses;      /* since the gateway's previous report */
    uint32_t in_flight; /* the gateway's requests that use it at present */
} KcMsgUsed;

/* State of an adapter or model at the keeper's engine. */
typedef struct KcMsgHeld {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for the model itself */
    uint32_t version;
    uint32_t state; /* KcHeldState */
} KcMsgHeld;

/* LOST and ENDED: an instance, and parts of the prompt of an attempt there. */
typedef struct KcMsgEnded {
    uint64_t started_at_ms; /* start of the instance, wall clock */
    uint64_t age_ms;        /* since the attempt began; of a LOST */
    KcBytes parts;          /* see KcParts_Encode() */
} KcMsgEnded;

/* A KcSuspectNews. */
typedef struct KcMsgSuspect {
    uint32_t kind; /* KcSuspectNewsKind */
    uint64_t part;
    uint32_t epoch;
    uint64_t instance;
    uint64_t age_ms;
    uint32_t trial_count;
    KcBytes companions; /* see KcParts_Encode() */
} KcMsgSuspect;

/* A gateway's report of its customers' use, see KcQuotas_WriteReport(). */
typedef struct KcMsgUsage {
    uint32_t sequence;      /* number of the report, at least 1 */
    uint32_t joined;        /* as in the last answer; 0: none */
    uint32_t gateway_count; /* all gateways; 0: not known */
    uint32_t lease_ms;      /* the gateway is counted for so long */
    bool is_leaving;        /* it is no longer counted; no answer is due */
    KcBytes rows;           /* see KcQuotaRow */
} KcMsgUsage;

/* The answer to it, see KcQuotaHub_OnReport(). */
typedef struct KcMsgTotals {
    uint32_t sequence;      /* of the report */
    uint32_t joined;        /* another number: its counts begin anew */
    uint32_t group_size;    /* gateways that are counted */
    uint32_t gateway_count; /* the highest that one of them named */
    KcBytes rows;           /* see KcQuotaRow */
} KcMsgTotals;

/* One message.  Pointers in it are borrowed. */
typedef struct KcMsg {
    KcMsgType type;
    uint64_t generation; /* of the sender's document */
    uint64_t clock;      /* hybrid logical clock of the sender */
    uint32_t stream_id;  /* 0 for messages of the connection itself */
    union {
        KcMsgHello hello;
        KcMsgPropose propose;
        KcMsgResume resume;
        KcMsgCredit credit;
        KcMsgAdmit admit;
        KcMsgRefuse refuse;
        KcMsgStarted started;
        KcMsgData data;
        KcMsgEnd end;
        KcMsgHead head;
        KcMsgPart part;
        KcMsgWant want;
        KcMsgUsed used;
        KcMsgHeld held;
        KcMsgEnded ended; /* LOST, too */
        KcMsgSuspect suspect;
        KcMsgUsage usage;
        KcMsgTotals totals;
    } u;
} KcMsg;

/* Initialises msg as the HELLO of a process. */
void KcMsg_InitHello(KcMsg *msg, const char *name, uint64_t incarnation);

/* Size of an encoded id of a part. */
#define KC_PART_BYTES 8

/* Encodes ids of parts for a message into a buffer of KC_PART_BYTES each, from
 * which the result borrows. */
KcBytes KcParts_Encode(const uint64_t *parts, uint32_t count, char *buffer);
/* Decodes at most parts_max ids; returns their number. */
uint32_t KcParts_Decode(KcBytes bytes, uint64_t *parts, uint32_t parts_max);

/* Priorities run from 0 (batch work) to KC_PRIORITY_MAX (alarms). */
#define KC_PRIORITY_MAX 9
#define KC_PRIORITY_DEFAULT 4

/* ---- Part 2: encoding --------------------------------------------------- */

/* Encodes messages; owns the bytes of the last one. */
typedef struct KcEncoder KcEncoder;
/* Decodes messages; owns the memory of the last one. */
typedef struct KcDecoder KcDecoder;

KcEncoder *KcEncoder_Create(void);
void KcEncoder_Free(KcEncoder *encoder);

/*
 * Encodes a message with its four-byte length prefix.  *bytes is valid
 * until the next call.  Returns 0 or KC_ERR_TOO_LARGE.
 */
int KcEncoder_Encode(KcEncoder *encoder, const KcMsg *msg, KcBytes *bytes);

KcDecoder *KcDecoder_Create(void);
void KcDecoder_Free(KcDecoder *decoder);

/*
 * Reads the length prefix of a frame.  Returns 0 with *size set,
 * KC_ERR_TOO_LARGE for a frame above KC_FRAME_BYTES_MAX, KC_ERR_PARSE for an
 * empty one.
 */
int KcDecoder_ReadFrameSize(const unsigned char prefix[4], size_t *size);

/*
 * Decodes a frame without its prefix.  The message borrows from frame and
 * decoder until the next call.  Fields after those that are known are ignored.
 * Returns 0, KC_ERR_PARSE, or KC_ERR_UNKNOWN_MESSAGE: msg->type is then the
 * number of a type that this version does not have, and only the fields before
 * msg->u are valid.
 */
int KcDecoder_Decode(KcDecoder *decoder, const void *frame, size_t size,
                     KcMsg *msg);

/* ---- Part 3: the link --------------------------------------------------- */

typedef struct KcLink KcLink;

/* The messages of one attempt on a link. */
typedef struct KcStream {
    UT_hash_handle hh;          /* KcLink, by id */
    TAILQ_ENTRY(KcStream) link; /* KcLink, in order of opening */
    uint32_t id;
    KcLink *parent;
    void *owner;          /* KcAttempt at an entry, KcWork at an agent */
    uint64_t next_offset; /* next byte expected in a DATA message */
    bool ended;           /* REFUSE or END was received */
} KcStream;

TAILQ_HEAD(KcStreamList, KcStream);

/* Calls to the transport of a link. */
typedef struct KcLinkOps {
    /* Sends a message, which is copied before the call returns. */
    void (*send)(void *transport, const KcMsg *msg);
    /* Closes the connection.  The link's owner is not notified. */
    void (*close)(void *transport);
} KcLinkOps;

/* Our end of a connection, and what is known of the peer. */
struct KcLink {
    TAILQ_ENTRY(KcLink) link; /* in its owner's list */
    const KcLinkOps *ops;
    void *transport;
    void *owner;         /* e.g. KcBackend at an entry, KcAgent at an agent */
    bool initiator;      /* this side connected, and opens the streams */
    bool hello_received; /* the peer's HELLO has arrived */
    bool peer_leaving;   /* the peer's LEAVING has arrived */
    bool has_skipped;    /* a message of an unknown type was skipped */
    char peer_name[KC_NAME_MAX];
    uint64_t peer_incarnation;
    uint64_t peer_generation;
    uint32_t last_stream_id; /* highest stream id opened */
    KcTime became_idle_at;   /* when the last open stream was closed */
    KcTime last_received_at; /* when the last message was received */
    /* Sets generation and clock of each message sent; may be NULL. */
    void (*stamp)(void *stamp_context, KcMsg *msg);
    void *stamp_context;
    KcStream *streams; /* uthash by id */
    struct KcStreamList stream_list;
};

TAILQ_HEAD(KcLinkList, KcLink);

/* Creates a link over a transport, which it borrows. */
KcLink *KcLink_Create(const KcLinkOps *ops, void *transport, bool initiator,
                      KcTime now);

/*
 * Frees a link and its streams, without closing the transport.  The owner of
 * every stream must be NULL by then.
 */
void KcLink_Free(KcLink *link);

/* Opens the next stream; only on the initiator's side. */
KcStream *KcLink_OpenStream(KcLink *link, void *owner, uint64_t next_offset);

/* Removes a stream from its link and frees it; nothing is sent. */
void KcLink_CloseStream(KcStream *stream, KcTime now);

/* Stamps a message and sends it on the link. */
void KcLink_Send(KcLink *link, KcMsg *msg);

/*
 * Checks a received message against the rules of the link and updates what
 * is known of the peer.  PROPOSE and RESUME open their stream.
 *
 * Returns 0 with *stream set to the message's stream, or to NULL when it
 * belongs to the connection or to a stream closed earlier (the message is
 * late and must be dropped).  Returns KC_ERR_PROTOCOL, with err filled, for
 * a message that breaks the rules: the connection must be closed.
 */
int KcLink_Receive(KcLink *link, const KcMsg *msg, KcStream **stream,
                   KcTime now, KcError *err);

/*
 * Skips a message of an unknown type, which a newer peer may send at any time
 * after its HELLO.  Returns 0, or KC_ERR_PROTOCOL, with err filled, before it:
 * the connection must be closed.  *is_first: none was skipped on the link
 * before.
 */
int KcLink_Skip(KcLink *link, const KcMsg *msg, bool *is_first, KcTime now,
                KcError *err);

#endif
