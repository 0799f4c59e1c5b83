/* Who is alive: gossip with suspicion and incarnations.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002): each period one member is
 * pinged; when it does not answer, others are asked to; then it is suspected,
 * which it may refute, and after a while taken for dead. Changes travel on
 * the pings. Pure: messages and time in, messages out. */
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

/* What travels about a member. Two of one name: the later start counts. */
typedef struct {
    guint64 id;
    guint32 incarnation_number; /* raised by the member itself to refute */
    member_state_t state;
    guint64 started; /* wall clock, ms */
    char name[MEMBER_TEXT_MAX + 1];
    char region[MEMBER_TEXT_MAX + 1];
    char data_centre[MEMBER_TEXT_MAX + 1];
    char address[MEMBER_TEXT_MAX + 1];
    gboolean control;
    gboolean draining;
} member_record_t;

typedef struct {
    gint64 period_us;
    gint64 suspicion_us;
    gint64 dead_expiry_us; /* a dead member is remembered for so long */
    guint64 seed;
} membership_settings_t;

/* One message to send. `reconnect` asks for a new connection first: the one
 * that is open may have gone silent. */
typedef struct {
    char address[MEMBER_TEXT_MAX + 1];
    guint64 to; /* 0 when not known */
    gboolean reconnect;
    GBytes *bytes;
} membership_message_t;

typedef struct membership membership_t;

membership_t *membership_create(const member_record_t *self,
                                const membership_settings_t *settings,
                                gint64 now_us);
void membership_destroy(membership_t *membership);
/* An address to join by. */
void membership_add_seed(membership_t *membership, const char *address);
void membership_tick(membership_t *membership, gint64 now_us);
/* FALSE when malformed. */
gboolean membership_receive(membership_t *membership, GBytes *bytes,
                            gint64 now_us);
/* Says goodbye, or that this instance drains. */
void membership_leave(membership_t *membership, gint64 now_us);
void membership_set_draining(membership_t *membership, gint64 now_us);
/* The version of the document in force here, told on each ping. */
void membership_set_version(membership_t *membership, guint64 version);
/* The highest version heard of, and from whom. */
guint64 membership_newest_version(const membership_t *membership,
                                  guint64 *member);

/* Takes what is to be sent: a GPtrArray of membership_message_t, freed by its
 * own free function. */
GPtrArray *membership_take_messages(membership_t *membership);
/* Whether who is alive changed since the last call. */
gboolean membership_take_changed(membership_t *membership);
/* All known, self included: a GArray of member_record_t; the caller unrefs. */
GArray *membership_list(const membership_t *membership);
const member_record_t *membership_find(const membership_t *membership,
                                       guint64 id);

#endif
