"""Peer protocol between entry instances: messages and frames."""

from dragonflyslip_wire.errors import FrameError
from dragonflyslip_wire.errors import MessageError
from dragonflyslip_wire.errors import VersionError
from dragonflyslip_wire.errors import WireError
from dragonflyslip_wire.frames import encode_frame
from dragonflyslip_wire.frames import FrameDecoder
from dragonflyslip_wire.frames import MAX_FRAME_BYTES
from dragonflyslip_wire.messages import Answer
from dragonflyslip_wire.messages import AnswerQuery
from dragonflyslip_wire.messages import AnswerState
from dragonflyslip_wire.messages import ConfigPull
from dragonflyslip_wire.messages import ConfigPush
from dragonflyslip_wire.messages import decode_message
from dragonflyslip_wire.messages import encode_message
from dragonflyslip_wire.messages import FeedPull
from dragonflyslip_wire.messages import FeedPush
from dragonflyslip_wire.messages import FeedState
from dragonflyslip_wire.messages import FeedStatus
from dragonflyslip_wire.messages import FeedSubscribe
from dragonflyslip_wire.messages import Heartbeat
from dragonflyslip_wire.messages import Hello
from dragonflyslip_wire.messages import MAX_BODY_BYTES
from dragonflyslip_wire.messages import Message
from dragonflyslip_wire.messages import Notice
from dragonflyslip_wire.messages import NoticeAck
from dragonflyslip_wire.messages import PROTOCOL_VERSION
