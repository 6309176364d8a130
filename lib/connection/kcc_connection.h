/*
 * What lives for one connection between an entry and an agent: typed
 * messages, their encoding, and the rules of the link and its streams.
 *
 * Part 1 is the messages, part 2 their encoding, part 3 the link.
 */
#ifndef KCC_CONNECTION_H
#define KCC_CONNECTION_H

#include <uthash.h>

#include "kcc_types.h"

/* ---- Part 1: messages --------------------------------------------------- */

#define KC_PROTOCOL_VERSION 1

/* Largest encoded message in bytes, without its length prefix. */
#define KC_FRAME_BYTES_MAX (4u * 1024 * 1024)

typedef enum KcMsgType {
    KC_MSG_HELLO = 0,    /* both ways, first on a connection */
    KC_MSG_PROPOSE,      /* entry: opens a stream with an attempt */
    KC_MSG_RESUME,       /* entry: opens a stream for an earlier attempt */
    KC_MSG_CANCEL,       /* entry: withdraws the attempt */
    KC_MSG_CREDIT,       /* entry: bytes up to an offset were consumed */
    KC_MSG_ADMIT,        /* agent: the attempt is queued */
    KC_MSG_REFUSE,       /* agent: the attempt did not run; ends it */
    KC_MSG_STARTED,      /* agent: the backend server answers */
    KC_MSG_DATA,         /* agent: a piece of the answer */
    KC_MSG_END,          /* agent: ends the attempt */
    KC_MSG_LEAVING,      /* agent: no new work is accepted; the entry echoes
                          * it and proposes nothing more on the link */
    KC_MSG_HEAD_REQUEST, /* either: asks for the head in force */
    KC_MSG_HEAD,         /* either: the head as JSON */
    KC_MSG_PART_REQUEST, /* either: asks for a part by hash */
    KC_MSG_PART,         /* either: a part */
    KC_MSG_PING,         /* entry: is the agent running? */
    KC_MSG_PONG,         /* agent: yes */
    KC_MSG_WANT,         /* gateway: asks the keeper to load an adapter */
    KC_MSG_USED,         /* gateway: tells the keeper what it uses */
    KC_MSG_HELD,         /* keeper: tells what its engine holds */
    KC_MSG_COUNT
} KcMsgType;

/* Borrowed bytes. */
typedef struct KcBytes {
    const char *data;
    size_t size;
} KcBytes;

/* Load of an agent; rides on replies that travel anyway. */
typedef struct KcAgentLoad {
    uint32_t queued;        /* attempts waiting */
    uint32_t running;       /* attempts at the backend server */
    uint32_t pending_loads; /* adapter loads in flight or wanted */
    bool is_adapter_loaded; /* the adapter of this attempt is loaded */
} KcAgentLoad;

typedef struct KcMsgHello {
    char name[KC_NAME_MAX];
    uint64_t incarnation; /* random per process start */
    uint32_t protocol_version;
} KcMsgHello;

typedef struct KcMsgPropose {
    KcRequestId request;
    uint32_t attempt;
    char service[KC_NAME_MAX];
    char adapter[KC_NAME_MAX]; /* "" for a plain service */
    uint32_t version;
    char customer[KC_NAME_MAX];
    uint32_t priority;     /* 0 to KC_PRIORITY_MAX, higher is more urgent */
    uint64_t time_left_us; /* time left until the answer must have begun */
    bool repeatable;
    uint64_t offset; /* bytes of the answer already delivered */
    uint64_t tokens; /* tokens of the answer already delivered */
    char method[16];
    char path[256];
    char content_type[KC_NAME_MAX];
    KcBytes body;
    KcBytes delivered_text; /* text already delivered, to continue from */
} KcMsgPropose;

typedef struct KcMsgResume {
    KcRequestId request;
    uint32_t attempt;
    uint64_t offset; /* bytes received so far */
} KcMsgResume;

typedef struct KcMsgCredit {
    uint64_t offset;   /* absolute, so a repeat is harmless */
    bool end_received; /* END or REFUSE was received: forget the attempt */
} KcMsgCredit;

typedef struct KcMsgAdmit {
    KcAgentLoad load;
} KcMsgAdmit;

typedef struct KcMsgRefuse {
    int32_t code; /* KcErrorCode */
    uint64_t retry_after_ms;
    KcAgentLoad load;
} KcMsgRefuse;

typedef struct KcMsgStarted {
    char adapter[KC_NAME_MAX]; /* as the backend server named it */
    uint32_t version;
    uint32_t http_status; /* HTTP status of a plain service */
    char content_type[KC_NAME_MAX];
} KcMsgStarted;

typedef struct KcMsgData {
    uint64_t offset; /* of the first byte, within the whole answer */
    uint64_t tokens; /* tokens of the answer up to its last byte */
    KcBytes bytes;
} KcMsgData;

typedef struct KcMsgEnd {
    int32_t code;         /* 0 when the answer is whole */
    bool reached_backend; /* the attempt reached the backend server */
    uint64_t offset;      /* size of the whole answer */
    uint64_t tokens;
    char finish_reason[32]; /* finish reason given by an engine */
    KcAgentLoad load;
} KcMsgEnd;

typedef struct KcMsgHead {
    KcBytes json;
} KcMsgHead;

typedef struct KcMsgPart {
    char hash[40];
    KcBytes bytes; /* empty in a request */
} KcMsgPart;

typedef struct KcMsgWant {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t version_min; /* at least; 0: any */
    uint32_t priority;    /* 0 is the most urgent */
} KcMsgWant;

typedef struct KcMsgUsed {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t uses;      /* since the gateway last told */
    uint32_t in_flight; /* requests of the gateway that use it */
} KcMsgUsed;

typedef struct KcMsgHeld {
    char model[KC_NAME_MAX];
    char adapter[KC_NAME_MAX];
    uint32_t version;
    uint32_t state; /* KcHeldState */
} KcMsgHeld;

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
    } u;
} KcMsg;

/* Makes the HELLO of a process; the rest of the message is cleared. */
void KcMsg_InitHello(KcMsg *msg, const char *name, uint64_t incarnation);

/* Priorities run from 0 (batch work) to KC_PRIORITY_MAX (alarms). */
#define KC_PRIORITY_MAX 9
#define KC_PRIORITY_DEFAULT 4

/* ---- Part 2: encoding --------------------------------------------------- */

/* An encoder that is reused from message to message. */
typedef struct KcEncoder KcEncoder;
/* A decoder; it owns the memory behind the last decoded message. */
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
 * Reads the length prefix.  Returns 0 with *size set, KC_ERR_TOO_LARGE for
 * a frame above KC_FRAME_BYTES_MAX, KC_ERR_PARSE for an empty one.
 */
int KcDecoder_ReadFrameSize(const unsigned char prefix[4], size_t *size);

/*
 * Decodes a frame without its prefix.  The message borrows from frame and
 * decoder until the next call.  Returns 0 or KC_ERR_PARSE.
 */
int KcDecoder_Decode(KcDecoder *decoder, const void *frame, size_t size,
                     KcMsg *msg);

/* ---- Part 3: the link --------------------------------------------------- */

typedef struct KcLink KcLink;

/* One attempt's share of a link. */
typedef struct KcStream {
    UT_hash_handle hh;
    TAILQ_ENTRY(KcStream) link;
    uint32_t id;
    KcLink *parent;
    void *owner;          /* KcAttempt at an entry, KcWork at an agent */
    uint64_t next_offset; /* next byte expected in a DATA message */
    bool ended;           /* REFUSE or END was received */
} KcStream;

TAILQ_HEAD(KcStreamList, KcStream);

/* Outward calls of a link: the transport. */
typedef struct KcLinkOps {
    /* Sends a message; it is copied before the call returns. */
    void (*send)(void *transport, const KcMsg *msg);
    /* Closes the connection; the owner of the link is told by no one. */
    void (*close)(void *transport);
} KcLinkOps;

/* One connection.  The initiator is the entry. */
struct KcLink {
    TAILQ_ENTRY(KcLink) link; /* in its owner's list */
    const KcLinkOps *ops;
    void *transport;
    void *owner; /* KcBackend at an entry, KcAgent at an agent */
    bool initiator;
    bool hello_received; /* the peer's HELLO has arrived */
    bool peer_leaving;   /* the peer's LEAVING has arrived */
    char peer_name[KC_NAME_MAX];
    uint64_t peer_incarnation;
    uint64_t peer_generation;
    uint32_t last_stream_id; /* highest stream id opened */
    KcTime became_idle_at;   /* time at which the last stream ended */
    KcTime last_received_at; /* time of the last message received */
    /* Sets generation and clock of each message sent. */
    void (*stamp)(void *stamp_context, KcMsg *msg);
    void *stamp_context;
    KcStream *streams; /* uthash by id */
    struct KcStreamList stream_list;
};

TAILQ_HEAD(KcLinkList, KcLink);

/* Creates a link over a transport. */
KcLink *KcLink_Create(const KcLinkOps *ops, void *transport, bool initiator,
                      KcTime now);

/*
 * Frees a link and its streams, without closing the transport.  Every
 * stream must have been taken from its owner before.
 */
void KcLink_Free(KcLink *link);

/* Opens the next stream (initiator). */
KcStream *KcLink_OpenStream(KcLink *link, void *owner, uint64_t next_offset);

/* Ends a stream and frees it. */
void KcLink_CloseStream(KcStream *stream, KcTime now);

/* Stamps a message and sends it on the link. */
void KcLink_Send(KcLink *link, KcMsg *msg);

/*
 * Checks a received message against the rules of the link and records what
 * it says about the peer.
 *
 * Returns 0 with *stream set to its stream, or to NULL when it belongs to
 * the connection or to a stream that has ended (the message is late and to
 * be dropped).  For PROPOSE and RESUME the new stream is opened here.
 * Returns KC_ERR_PROTOCOL, with err filled, for a message out of order: the
 * connection must be closed.
 */
int KcLink_Receive(KcLink *link, const KcMsg *msg, KcStream **stream,
                   KcTime now, KcError *err);

#endif
