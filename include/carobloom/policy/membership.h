/* Failure detection and membership by gossip, with suspicion and incarnation
 * numbers.
 *
 * Source: Das, Gupta and Motivala, "SWIM" (2002). Each period one member is
 * pinged. If it doesn't acknowledge, other members ping it indirectly; after
 * that it is suspected, which it may refute, and declared dead when the
 * suspicion times out. Membership changes are piggybacked on pings and acks.
 * The module does no I/O and reads no clock: messages and the time go in,
 * messages come out. */
#ifndef CAROBLOOM_POLICY_MEMBERSHIP_H
#define CAROBLOOM_POLICY_MEMBERSHIP_H

#include <glib.h>

enum { MEMBER_TEXT_MAX = 64, MEMBERSHIP_MEMBERS_MAX = 4096 };

typedef enum {
    MEMBER_ALIVE,
    MEMBER_SUSPECT,
    MEMBER_DEAD,
    MEMBER_LEFT,
} member_state_t;

/* The record of a member that is gossiped. Of two members with the same name,
 * the one with the later `started` replaces the other. */
typedef struct {
    guint64 id;
    /* SWIM's incarnation number, which only the member itself raises. Not the
     * incarnation of a process: `started` identifies the process. */
    guint32 incarnation_number;
    member_state_t state;
    guint64 started; /* start of the process, wall clock, ms */
    char name[MEMBER_TEXT_MAX + 1];
    char region[MEMBER_TEXT_MAX + 1];
    char data_centre[MEMBER_TEXT_MAX + 1];
    char address[MEMBER_TEXT_MAX + 1];
    gboolean control;
    gboolean draining;
} member_record_t;

/* Times of the protocol, and the seed of the order of pings. */
typedef struct {
    gint64 period_us;
    gint64 suspicion_us;
    gint64 dead_expiry_us; /* how long dead and departed members are kept */
    guint64 seed;
} membership_settings_t;

/* One message to send. With `reconnect`, the caller opens a new connection
 * first, because the current one may be broken without an error. */
typedef struct {
    char address[MEMBER_TEXT_MAX + 1];
    guint64 to; /* member id, 0 when not known */
    gboolean reconnect;
    GBytes *bytes;
} membership_message_t;

typedef struct membership membership_t;

membership_t *membership_create(const member_record_t *self,
                                const membership_settings_t *settings,
                                gint64 now_us);
void membership_destroy(membership_t *membership);
/* Adds an address through which to join. */
void membership_add_seed(membership_t *membership, const char *address);
/* Runs the timers; call it several times a period. */
void membership_tick(membership_t *membership, gint64 now_us);
/* Handles a received message; returns FALSE when it is malformed or from this
 * member. */
gboolean membership_receive(membership_t *membership, GBytes *bytes,
                            gint64 now_us);
/* Announces that this instance leaves the membership. */
void membership_leave(membership_t *membership, gint64 now_us);
/* Announces that this instance drains. */
void membership_set_draining(membership_t *membership, gint64 now_us);
/* Sets the version of the configuration in force at this instance, which is
 * sent with each message. */
void membership_set_config_version(membership_t *membership, guint64 version);
/* The highest configuration version known, and the member that has it. */
guint64 membership_newest_config_version(const membership_t *membership,
                                         guint64 *member);

/* Takes the messages to send: a GPtrArray of membership_message_t that frees
 * its elements. */
GPtrArray *membership_take_messages(membership_t *membership);
/* Whether a member joined or changed since the last call. */
gboolean membership_take_changed(membership_t *membership);
/* All known members, this one included, sorted by name: a GArray of
 * member_record_t that the caller unrefs. */
GArray *membership_list(const membership_t *membership);
/* The record of a member, or NULL. */
const member_record_t *membership_find(const membership_t *membership,
                                       guint64 id);

#endif
